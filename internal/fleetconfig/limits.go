package fleetconfig

import "time"

// Limits bounds the requests and connections of callers. 0 means a default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time for the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a call stays open.
	IdleTimeout time.Duration
}
