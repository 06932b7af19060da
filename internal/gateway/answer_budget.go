package gateway

import "sync"

const (
	// maxHeldBytes bounds the bytes that a daemon holds of answers that are not passed on
	// yet, and maxHeldBytesPerUpstream those of one upstream, so that a faulty one does not
	// use up what the answers of others need.
	maxHeldBytes            = 8 << 20
	maxHeldBytesPerUpstream = 2 << 20
	// freeHeldBytes is what each answer may hold beside these bounds: about one read.
	freeHeldBytes = 4 << 10
)

// answerBudget bounds the bytes that a daemon holds of answers that are not passed on yet.
// It is safe for concurrent use.
type answerBudget struct {
	mu         sync.Mutex
	held       int
	byUpstream map[string]int
	// peak is the highest value of held.
	peak int
}

// reserve adds n bytes, which may be negative, to what is held for an upstream. It reports
// whether the bounds allow that; otherwise nothing changes.
func (b *answerBudget) reserve(upstream string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ofUpstream := b.byUpstream[upstream] + n
	if n > 0 && (b.held+n > maxHeldBytes || ofUpstream > maxHeldBytesPerUpstream) {
		return false
	}
	b.held += n
	b.peak = max(b.peak, b.held)
	if b.byUpstream == nil {
		b.byUpstream = map[string]int{}
	}
	b.byUpstream[upstream] = ofUpstream
	if ofUpstream == 0 {
		delete(b.byUpstream, upstream)
	}
	return true
}

// heldBytes is the part of an answerBudget that one answer uses. It belongs to one goroutine.
type heldBytes struct {
	budget   *answerBudget
	upstream string
	size     int
}

// set changes the part to what an answer of size bytes needs. It reports whether the budget
// allows that; otherwise the part stays as it is.
func (h *heldBytes) set(size int) bool {
	size = max(0, size-freeHeldBytes)
	if size == h.size {
		return true
	}
	if !h.budget.reserve(h.upstream, size-h.size) {
		return false
	}
	h.size = size
	return true
}

// release gives the part back.
func (h *heldBytes) release() { h.set(0) }
