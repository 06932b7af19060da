package dispatch

import "time"

// UpstreamEvidence is what the result of an attempt shows about its upstream.
type UpstreamEvidence struct {
	// Answered reports whether the upstream answered, possibly with an error.
	Answered bool
	// Draining reports whether the upstream itself answered that it is leaving.
	Draining bool
	// Backoff is how long the upstream wants no further request; 0 if it does not ask for that.
	Backoff time.Duration
	// Lost reports whether the connection was refused or lost, or made no
	// progress.
	Lost bool
}
