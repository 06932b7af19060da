package dispatch

import "time"

// Evidence receives what attempts tell about upstreams, for the membership
// table.
type Evidence interface {
	// Observe reports the end of an attempt at an upstream. Attempts that say
	// nothing about the upstream are not reported.
	Observe(upstream string, seen Seen, now time.Time)
}

// Seen is what an attempt tells about its upstream.
type Seen struct {
	// OK says that the upstream answered, be it with an error.
	OK bool
	// Draining says that the upstream itself said that it is leaving.
	Draining bool
	// Lost says that the connection was refused or lost, or made no progress.
	Lost bool
}
