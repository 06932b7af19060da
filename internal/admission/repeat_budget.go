package admission

import (
	"sync"
	"time"
)

const (
	// repeatSlots is the number of slots that are counted: those of a whole
	// window and the current slot, which is not complete.
	repeatSlots = 20
	// usableBudgetShare is the share of the budget that is used. The remainder
	// covers requests that other daemons count in another window.
	usableBudgetShare = 0.8
)

// RepeatBudget bounds the repeats of all daemons together to a share of the
// requests plus a fixed number, within a sliding window. Each daemon may use
// that share of its own first attempts and its share of the fixed number. All
// exported fields are required. RepeatBudget is safe for concurrent use and
// implements dispatch.RepeatBudget.
type RepeatBudget struct {
	// Bound returns the share of requests that may be repeated, and this
	// daemon's share of the fixed number of repeats. Both may change over time.
	Bound func() (share, fixed float64)
	// Window is the length of the sliding window.
	Window time.Duration
	// Now is the clock.
	Now func() time.Time

	mu    sync.Mutex
	pools map[string]*repeatWindow
}

// repeatWindow counts first attempts and repeats per slot of the sliding
// window.
type repeatWindow struct {
	slots    [repeatSlots]struct{ firsts, repeats float64 }
	lastSlot int64
}

// advance clears the slots that have expired and returns the index of the
// current one.
func (w *repeatWindow) advance(now time.Time, window time.Duration) int {
	slot := now.UnixNano() / int64(window/(repeatSlots-1))
	if slot-w.lastSlot >= repeatSlots {
		*w = repeatWindow{lastSlot: slot}
	}
	for w.lastSlot < slot {
		w.lastSlot++
		w.slots[w.lastSlot%repeatSlots] = struct{ firsts, repeats float64 }{}
	}
	return int(w.lastSlot % repeatSlots)
}

func (b *RepeatBudget) pool(name string) *repeatWindow {
	if b.pools == nil {
		b.pools = map[string]*repeatWindow{}
	}
	w := b.pools[name]
	if w == nil {
		w = &repeatWindow{}
		b.pools[name] = w
	}
	return w
}

// RecordFirst counts the first attempt of a request.
func (b *RepeatBudget) RecordFirst(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	w.slots[w.advance(b.Now(), b.Window)].firsts++
}

// Take consumes one repeat. It returns false when the budget is used up.
func (b *RepeatBudget) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	current := w.advance(b.Now(), b.Window)
	firsts, repeats := 0.0, 0.0
	for _, s := range w.slots {
		firsts += s.firsts
		repeats += s.repeats
	}
	share, fixed := b.Bound()
	if repeats+1 > usableBudgetShare*(share*firsts+fixed) {
		return false
	}
	w.slots[current].repeats++
	return true
}
