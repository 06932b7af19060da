package admin

import (
	"context"
	"time"

	"rattantide/internal/burn"
)

// StatusSource tells what this daemon is doing.
type StatusSource interface {
	// Status returns the daemon's part of the status. The API itself sets
	// Revision and Moves from the configuration.
	Status() Status
}

// Explainer tells why a request is where it is.
type Explainer interface {
	// Explain returns false when this daemon does not know the request.
	Explain(id string) (Explanation, bool)
}

// BurnSource hands out what this daemon measured.
type BurnSource interface {
	Export(now time.Time) *burn.Export
}

// Drainer starts a planned stop of this daemon.
type Drainer interface {
	// Drain returns once the daemon has announced that it is leaving. Open
	// requests continue afterwards. Calling it again has no effect.
	Drain(ctx context.Context) error
}
