package policytest

import (
	"container/heap"
	"time"
)

// events is a queue of actions in the order of their time, then of insertion.
type events struct {
	now   time.Duration
	queue eventHeap
	seq   int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (e *events) after(d time.Duration, do func()) { e.at(e.now+d, do) }

func (e *events) at(t time.Duration, do func()) {
	e.seq++
	heap.Push(&e.queue, event{at: max(t, e.now), seq: e.seq, do: do})
}

// run performs all actions up to the end.
func (e *events) run(end time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.do()
	}
}

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
