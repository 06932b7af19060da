package policytest

import "time"

// request is one generated request.
type request struct {
	id        int
	workspace string
	class     *class
	at        time.Duration
	blocks    []uint64
	prompt    int
	answer    int

	// What was seen.
	refused   bool
	started   time.Duration
	first     time.Duration
	ended     time.Duration
	generated int
}

// class is a class of work with its targets.
type class struct {
	name     string
	priority int
	first    time.Duration
	between  time.Duration
	deadline time.Duration
}

// within reports whether the request met its targets.
func (r *request) within() bool {
	return r.ended > 0 && !r.refused && r.first-r.at <= r.class.first && r.gap() <= r.class.between
}

// gap returns the mean time between tokens.
func (r *request) gap() time.Duration {
	if r.answer < 2 || r.ended == 0 {
		return 0
	}
	return (r.ended - r.first) / time.Duration(r.answer-1)
}
