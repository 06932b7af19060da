package journal

import "rattantide/internal/problem"

// Status is a snapshot of a record's state.
type Status struct {
	State   State   `json:"state"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Problem is why a request ended without its whole answer.
	Problem *problem.Problem `json:"problem,omitempty"`
	Epoch   int64            `json:"epoch"`
	// Events is the number of recorded events.
	Events int64 `json:"events"`
	// Delivered is the highest event number returned to a caller.
	Delivered int64 `json:"delivered"`
	// Moved reports whether another daemon holds the record; Successor is its
	// address, if known.
	Moved     bool      `json:"moved,omitempty"`
	Successor string    `json:"successor,omitempty"`
	Attempts  []Attempt `json:"attempts,omitempty"`
}

// HasEnded reports whether this daemon accepts no more events for the record.
func (s *Status) HasEnded() bool { return s.State == StateFinished || s.Moved }
