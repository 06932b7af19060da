package server

import (
	"bytes"

	"rattantide/internal/relay"
)

// reorderWindow is how many events may arrive before a missing one does.
const reorderWindow = 16

// reorder holds events that arrived before their predecessor.
type reorder struct {
	held map[int64][]byte
}

// hold keeps an event. It reports false when the window is full.
func (o *reorder) hold(e relay.Event) bool {
	if len(o.held) >= reorderWindow {
		return false
	}
	if o.held == nil {
		o.held = map[int64][]byte{}
	}
	o.held[e.ID] = bytes.Clone(e.Data)
	return true
}

// take returns the event with the number, if it is held.
func (o *reorder) take(id int64) ([]byte, bool) {
	data, ok := o.held[id]
	delete(o.held, id)
	return data, ok
}
