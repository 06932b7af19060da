package gateway

import (
	"time"

	"rattantide/internal/membership"
)

// ResponseInfo holds what the gateway reads from the headers of an upstream's
// response.
type ResponseInfo struct {
	// AttemptID identifies the attempt that the response belongs to.
	AttemptID string
	// Signed reports whether the response carries the upstream's signature.
	Signed bool
	// NotRun reports whether the upstream did not run the request and never will.
	NotRun bool
	// Misdirected reports whether the address now belongs to another upstream.
	Misdirected bool
	// Load is the upstream's load, or nil if the response does not report it.
	Load *membership.Load
	// RequestLimit is the number of requests per second that the upstream takes from all
	// daemons together, or nil if it names none.
	RequestLimit *float64
	// Leaving reports whether the upstream states that it is about to stop.
	Leaving bool
	// Backoff is how long the upstream wants no further request of this daemon; 0 means that it
	// does not ask for that.
	Backoff time.Duration
}
