package policytest

import (
	"container/heap"
	"time"
)

// eventQueue executes actions in the order of their simulated time, then of insertion.
type eventQueue struct {
	now   time.Duration
	queue eventHeap
	seq   int
}

// event is a scheduled action. seq is its position in the order of insertion.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// scheduleAfter schedules an action d after the current time.
func (e *eventQueue) scheduleAfter(d time.Duration, action func()) { e.scheduleAt(e.now+d, action) }

// scheduleAt schedules an action at time t, or at the current time if t has passed.
func (e *eventQueue) scheduleAt(t time.Duration, action func()) {
	e.seq++
	heap.Push(&e.queue, event{at: max(t, e.now), seq: e.seq, action: action})
}

// run executes all actions that are due up to and including the time end.
func (e *eventQueue) run(end time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.action()
	}
}

// eventHeap is a min-heap of events for container/heap.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
