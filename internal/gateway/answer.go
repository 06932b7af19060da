package gateway

import "rattantide/internal/membership"

// Answer is what the headers of an upstream's answer say.
type Answer struct {
	// AttemptID is the attempt that the answer belongs to.
	AttemptID string
	// Sealed says that the answer carries the upstream's signature.
	Sealed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Gone says that another upstream has the address now.
	Gone bool
	// Load is the upstream's load, or nil.
	Load *membership.Load
}
