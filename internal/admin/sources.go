package admin

import (
	"context"
	"time"

	"rattantide/internal/burn"
)

// StatusSource reports the status of this daemon.
type StatusSource interface {
	// Status returns the status without Revision and Moves, which the API sets
	// from the configuration.
	Status() Status
}

// Explainer explains the state of requests.
type Explainer interface {
	// Explain returns the explanation of a request. It returns false if this
	// daemon does not know the request.
	Explain(id string) (Explanation, bool)
}

// BurnSource exports the service-level measurements of this daemon.
type BurnSource interface {
	// Export returns the measurements of all windows that end at now.
	Export(now time.Time) *burn.Export
}

// Drainer starts a planned stop of this daemon.
type Drainer interface {
	// Drain returns once the daemon has announced that it is leaving. Open
	// requests continue afterwards. An error means that the announcement failed;
	// the stop continues. Calling Drain again does not start another stop.
	Drain(ctx context.Context) error
}
