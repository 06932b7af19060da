package dispatch

import (
	"time"

	"rattantide/internal/configsync"
)

// MoveSample is an attempt as evidence of a running move.
type MoveSample struct {
	Move     *configsync.Move
	Version  string
	Route    string
	Upstream string
	// Load is the running requests at the upstream when the attempt started;
	// it tells the load band.
	Load float64
	// UncachedTokens is how much of the prompt had to be processed. Upstreams
	// of a new version start with an empty cache, so latencies are compared
	// among requests with about the same work.
	UncachedTokens int
	// Open says that the attempt has its first token and goes on: only Latency
	// is known. A long answer would otherwise show its latency too late for a
	// move with a short deadline.
	Open bool
	// Failed says that the upstream answered with an error, was lost or made no
	// progress.
	Failed bool
	// Lost says that the upstream was lost or made no progress, which ends all
	// its attempts at once.
	Lost bool
	// Latency is the time to the first token, or to the whole answer of a plain
	// service; 0 when there was none, or when it was reported before.
	Latency time.Duration
	// Gap is the mean time between two tokens; 0 for plain services.
	Gap       time.Duration
	StartedAt time.Time
	EndedAt   time.Time
}
