package dispatch

import "time"

// Evidence receives what attempts tell about upstreams, for the membership
// table.
type Evidence interface {
	// Observe reports the end of an attempt at an upstream. Attempts that say
	// nothing about the upstream are not reported.
	Observe(upstream string, seen Seen, now time.Time)
}
