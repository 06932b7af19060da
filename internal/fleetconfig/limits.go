package fleetconfig

import "time"

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which a header must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept.
	IdleTimeout time.Duration
}
