package handoff

import "sync"

// queue holds identifiers to be worked on, each at most once, and never gives
// the same one to two workers at a time. It is safe for concurrent use.
type queue struct {
	mu     sync.Mutex
	ready  sync.Cond
	order  []string
	queued map[string]bool
	// busy are being worked on; true means that they were added meanwhile.
	busy   map[string]bool
	closed bool
}

func newQueue() *queue {
	q := &queue{queued: map[string]bool{}, busy: map[string]bool{}}
	q.ready.L = &q.mu
	return q
}

func (q *queue) add(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.busy[id]; ok {
		q.busy[id] = true
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
	q.ready.Signal()
}

// take waits for an identifier; it returns false once the queue is closed.
// done must be called after the work.
func (q *queue) take() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.order) == 0 && !q.closed {
		q.ready.Wait()
	}
	if q.closed {
		return "", false
	}
	id := q.order[0]
	q.order = q.order[1:]
	delete(q.queued, id)
	q.busy[id] = false
	return id, true
}

func (q *queue) done(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	again := q.busy[id]
	delete(q.busy, id)
	if again {
		q.pushLocked(id)
	}
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.ready.Broadcast()
}
