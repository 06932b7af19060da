package handoff

import "sync"

// queue is a work queue of unique identifiers. No identifier is given to two
// workers at the same time. It is safe for concurrent use.
type queue struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	order    []string
	queued   map[string]bool
	// processing holds the identifiers that are being processed. The value is
	// true if the identifier was added again meanwhile.
	processing map[string]bool
	closed     bool
}

func newQueue() *queue {
	q := &queue{queued: map[string]bool{}, processing: map[string]bool{}}
	q.notEmpty.L = &q.mu
	return q
}

func (q *queue) add(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.processing[id]; ok {
		q.processing[id] = true
		return
	}
	q.pushLocked(id)
}

func (q *queue) pushLocked(id string) {
	if q.queued[id] || q.closed {
		return
	}
	q.queued[id] = true
	q.order = append(q.order, id)
	q.notEmpty.Signal()
}

// next blocks until an identifier is available and returns it, or returns false
// once the queue is closed. The caller must call done after the work.
func (q *queue) next() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.order) == 0 && !q.closed {
		q.notEmpty.Wait()
	}
	if q.closed {
		return "", false
	}
	id := q.order[0]
	q.order = q.order[1:]
	delete(q.queued, id)
	q.processing[id] = false
	return id, true
}

func (q *queue) done(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	addedAgain := q.processing[id]
	delete(q.processing, id)
	if addedAgain {
		q.pushLocked(id)
	}
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
