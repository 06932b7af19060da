package journal

import "rattantide/internal/problem"

// Status is a record's state at one moment.
type Status struct {
	State   State   `json:"state"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Problem says why a request ended without its whole answer.
	Problem *problem.Problem `json:"problem,omitempty"`
	Epoch   int64            `json:"epoch"`
	Events  int64            `json:"events"`
	// Delivered is the highest event number that was handed to a caller.
	Delivered int64 `json:"delivered"`
	// Moved says that another daemon holds the record; Successor is its address
	// if it is known.
	Moved     bool      `json:"moved,omitempty"`
	Successor string    `json:"successor,omitempty"`
	Attempts  []Attempt `json:"attempts,omitempty"`
}

// Ended reports whether the record takes no more events here.
func (s *Status) Ended() bool { return s.State == StateFinished || s.Moved }
