package lease

import "time"

// observation is what a daemon knows of a lease that it does not hold.
type observation struct {
	// rank is the daemon's place in the order of preference for the duty.
	rank int
	ttl  time.Duration
	// freeSince is when the lease was first seen to be free, on the local
	// clock; zero while it is held.
	freeSince time.Time
	// expiresIn is the time until the lease expires while it is held.
	expiresIn time.Duration
}

// plan tells whether to acquire the lease now, and otherwise how long to wait
// before the next look. A daemon that is less preferred leaves the others half a
// lifetime each, and looks less often, so that the calls for a duty grow with
// the logarithm of the number of daemons.
func (o observation) plan(now time.Time, maxInterval time.Duration) (acquire bool, wait time.Duration) {
	if o.freeSince.IsZero() {
		// A holder renews well before the expiry, so a look just after it
		// tells whether the holder is gone.
		return false, min(max(o.expiresIn, o.ttl/4)+time.Duration(o.rank)*o.ttl, maxInterval)
	}
	delay := min(time.Duration(o.rank)*o.ttl/2, maxInterval)
	if waited := now.Sub(o.freeSince); waited < delay {
		return false, delay - waited
	}
	return true, 0
}
