package admission

import "slices"

// workspaceQueue contains the waiting requests of a workspace in a class, in
// the order in which they were accepted.
type workspaceQueue struct {
	name    string
	waiters []*waiter
	// cost is the sum of the costs of waiters.
	cost float64
	// deficit is the work, in tokens, that the workspace may still start in
	// this round.
	deficit float64
	// credited reports whether this round's quantum was added to deficit.
	credited bool
}

func (q *workspaceQueue) push(w *waiter) {
	w.queue = q
	i := len(q.waiters)
	for i > 0 && w.goesBefore(q.waiters[i-1]) {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	q.cost += w.req.cost()
}

// removeAt removes and returns the waiter at index i.
func (q *workspaceQueue) removeAt(i int) *waiter {
	w := q.waiters[i]
	copy(q.waiters[i:], q.waiters[i+1:])
	q.waiters[len(q.waiters)-1] = nil
	q.waiters = q.waiters[:len(q.waiters)-1]
	q.cost = max(0, q.cost-w.req.cost())
	return w
}

// position returns the index of a waiter, or -1 when it is not queued.
func (q *workspaceQueue) position(w *waiter) int {
	for i := range q.waiters {
		if q.waiters[i] == w {
			return i
		}
	}
	return -1
}
