package admission

// quantum is the work, in tokens, that a workspace may start per round. It is
// about one long prompt, so that a round is short for short chats.
const quantum = 1000

// classQueue holds the waiting requests of a class. Each workspace offers its
// oldest request, and deficit round robin over the workspaces decides.
type classQueue struct {
	name     string
	priority int
	// ring holds the workspaces with waiting requests.
	ring    []*workspaceQueue
	next    int
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
				q.drop(q.next)
			}
			return w
		}
		ws.credited = false
		q.next = (q.next + 1) % len(q.ring)
	}
}

// remove takes a waiter out of the queue, wherever it stands.
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
			q.drop(j)
			return
		}
	}
}

// drop removes an empty workspace from the ring. Its deficit is lost, so that
// an idle workspace cannot save up for a burst.
func (q *classQueue) drop(i int) {
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

// costBefore returns the work that starts before a new request of a workspace
// with this cost: fair sharing lets each other workspace start at most as much
// as this one has waiting.
func (q *classQueue) costBefore(workspace string, cost float64) float64 {
	own := 0.0
	if ws := q.workspace(workspace); ws != nil {
		own = ws.cost
	}
	sum := own
	for _, ws := range q.ring {
		if ws.name != workspace {
			sum += min(ws.cost, own+max(cost, quantum))
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

// longest returns the workspace with most waiting requests, or nil.
func (q *classQueue) longest() *workspaceQueue {
	var found *workspaceQueue
	for _, ws := range q.ring {
		if found == nil || len(ws.waiters) > len(found.waiters) {
			found = ws
		}
	}
	return found
}

// oldest returns the waiter that arrived first among the heads, or nil.
func (q *classQueue) oldest() *waiter {
	var found *waiter
	for _, ws := range q.ring {
		if found == nil || ws.waiters[0].arrived.Before(found.arrived) {
			found = ws.waiters[0]
		}
	}
	return found
}
