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
	// Priority is passed to the engine, 0 (lowest) to 9.
	Priority int
	// FirstToken may be called once with the time from dispatch to the first
	// token, as soon as it came; nil when nobody is interested.
	FirstToken func(time.Duration)
	// Done must be called exactly once, when the attempt has ended. It frees
	// the attempt's place and records what was seen.
	Done func(Result)
}
