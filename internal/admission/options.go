package admission

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Options configures a Controller.
type Options struct {
	// MaxWaiting bounds the queue of a pool. Default DefaultMaxWaiting.
	MaxWaiting int
	// MaxPerWorkspace bounds the queue of a workspace in a class. Default
	// DefaultMaxPerWorkspace.
	MaxPerWorkspace int
	// LimitWork holds work back while first answers come late at the pools. It is
	// for pools that other daemons use as well, whose load is not known here.
	LimitWork bool
	// MinRetryAfter bounds the advised delay below. Default 1 s.
	MinRetryAfter time.Duration
	// Scope receives the metrics. Default none.
	Scope tally.Scope
	// Now is the clock. Default time.Now.
	Now func() time.Time
}
