package admission

// quantum is the work, in tokens, that a workspace may start per round. It is
// about the size of one long prompt, so that a round is short for short chats.
const quantum = 1000

// classQueue is the queue of a class. It schedules by deficit round robin over
// the workspaces, in order of acceptance within each.
type classQueue struct {
	name string
	// priority is the priority of the request that was queued last.
	priority int
	// ring contains the workspaces with waiting requests.
	ring []*workspaceQueue
	// next is the index in ring of the workspace whose turn it is.
	next int
	// waiting is the number of waiting requests of all workspaces.
	waiting int
}

func (q *classQueue) push(w *waiter) {
	q.priority = w.req.Priority
	q.waiting++
	for _, ws := range q.ring {
		if ws.name == w.req.Workspace {
			ws.push(w)
			return
		}
	}
	ws := &workspaceQueue{name: w.req.Workspace}
	ws.push(w)
	q.ring = append(q.ring, ws)
}

// pop returns the next waiter; the queue must not be empty.
func (q *classQueue) pop() *waiter {
	for {
		ws := q.ring[q.next]
		if !ws.credited {
			ws.deficit += quantum
			ws.credited = true
		}
		if cost := ws.waiters[0].req.cost(); cost <= ws.deficit {
			ws.deficit -= cost
			w := ws.removeAt(0)
			q.waiting--
			if len(ws.waiters) == 0 {
				q.dropWorkspace(q.next)
			}
			return w
		}
		ws.credited = false
		q.next = (q.next + 1) % len(q.ring)
	}
}

// peek returns the waiter that is the first of the workspace whose turn it is; the queue
// must not be empty. pop may return one of the next workspace if that costs less.
func (q *classQueue) peek() *waiter { return q.ring[q.next].waiters[0] }

// remove removes a waiter from the queue at any position. It does nothing when
// the waiter is no longer queued.
func (q *classQueue) remove(w *waiter) {
	i := w.queue.position(w)
	if i < 0 {
		return
	}
	w.queue.removeAt(i)
	q.waiting--
	if len(w.queue.waiters) > 0 {
		return
	}
	for j, ws := range q.ring {
		if ws == w.queue {
			q.dropWorkspace(j)
			return
		}
	}
}

// dropWorkspace removes an empty workspace from the ring. Its deficit is
// discarded, so that an idle workspace cannot accumulate credit for a burst.
func (q *classQueue) dropWorkspace(i int) {
	q.ring = append(q.ring[:i], q.ring[i+1:]...)
	if q.next > i {
		q.next--
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

func (q *classQueue) workspace(name string) *workspaceQueue {
	for _, ws := range q.ring {
		if ws.name == name {
			return ws
		}
	}
	return nil
}

// costBefore returns the work, in tokens, that starts before a new request of a
// workspace with this cost. Under fair sharing, each other workspace starts at
// most as much work as this one has waiting.
func (q *classQueue) costBefore(workspace string, cost float64) float64 {
	ownCost := 0.0
	if ws := q.workspace(workspace); ws != nil {
		ownCost = ws.cost
	}
	sum := ownCost
	for _, ws := range q.ring {
		if ws.name != workspace {
			sum += min(ws.cost, ownCost+max(cost, quantum))
		}
	}
	return sum
}

func (q *classQueue) cost() float64 {
	sum := 0.0
	for _, ws := range q.ring {
		sum += ws.cost
	}
	return sum
}

// longest returns the workspace with the most waiting requests, or nil.
func (q *classQueue) longest() *workspaceQueue {
	var longest *workspaceQueue
	for _, ws := range q.ring {
		if longest == nil || len(ws.waiters) > len(longest.waiters) {
			longest = ws
		}
	}
	return longest
}

// oldest returns the waiter that was queued first among the heads of the
// workspace queues, or nil.
func (q *classQueue) oldest() *waiter {
	var oldest *waiter
	for _, ws := range q.ring {
		if oldest == nil || ws.waiters[0].arrivedAt.Before(oldest.arrivedAt) {
			oldest = ws.waiters[0]
		}
	}
	return oldest
}
