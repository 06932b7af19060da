package server

import (
	"bytes"

	"rattantide/internal/relay"
)

// reorderWindow is the largest number of events that are buffered while an earlier
// one is missing.
const reorderWindow = 16

// reorderBuffer holds events that arrived before their predecessor, by event
// number.
type reorderBuffer struct {
	events map[int64][]byte
}

// add stores a copy of an event. It returns false when the window is full.
func (o *reorderBuffer) add(e relay.Event) bool {
	if len(o.events) >= reorderWindow {
		return false
	}
	if o.events == nil {
		o.events = map[int64][]byte{}
	}
	o.events[e.ID] = bytes.Clone(e.Data)
	return true
}

// remove deletes the event with the given number and returns its data, if there is
// one.
func (o *reorderBuffer) remove(id int64) ([]byte, bool) {
	data, ok := o.events[id]
	delete(o.events, id)
	return data, ok
}
