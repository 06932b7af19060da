package dispatch

import (
	"time"

	"rattantide/internal/membership"
)

// Choice is an upstream chosen for one attempt.
type Choice struct {
	Upstream membership.Upstream
	// Version is the version that serves the attempt.
	Version string
	// Pace and Speed are what the choice assumed of the upstream, as in routing.Candidate, and
	// StateAge is the age of the report; they are 0 if they are not known.
	Pace, Speed float64
	StateAge    time.Duration
	// Priority is passed to the engine, 0 (lowest) to 9.
	Priority int
	// FirstToken reports the time from dispatch to the first token. It may be
	// called once, as soon as the token has arrived. It is nil for plain
	// services.
	FirstToken func(time.Duration)
	// Done must be called exactly once, when the attempt has ended. It releases
	// the attempt's concurrency slot and records the result.
	Done func(Result)
}
