package dispatch

import (
	"time"

	"rattantide/internal/configsync"
)

// MoveSample is the measurement of one attempt, used to judge a running version
// move.
type MoveSample struct {
	Move     *configsync.Move
	Version  string
	Route    string
	Upstream string
	// Load is the number of requests that were running at the upstream when the
	// attempt started. It selects the load band in which samples are compared.
	Load float64
	// UncachedTokens is the number of prompt tokens that had to be processed.
	// Upstreams of a new version start with an empty cache, so latencies are
	// compared among requests with about the same work.
	UncachedTokens int
	// InProgress reports whether the attempt has received its first token and is
	// still running; only Latency is known then. Without these samples, the
	// latency of a long answer would arrive too late for a move with a short
	// deadline.
	InProgress bool
	// Failed reports whether the upstream answered with an error, was lost or
	// made no progress.
	Failed bool
	// Lost reports whether the upstream was lost or made no progress, which
	// ends all its attempts at once.
	Lost bool
	// Latency is the time to the first token, or to the whole answer of a plain
	// service. It is 0 when there was none, or when it was reported in an
	// earlier sample.
	Latency time.Duration
	// Gap is the mean time between two tokens; 0 for plain services.
	Gap       time.Duration
	StartedAt time.Time
	// EndedAt is when the attempt ended, or the time of the sample if InProgress
	// is set.
	EndedAt time.Time
}
