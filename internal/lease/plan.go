package lease

import "time"

// unheldLease is the state of a lease that this daemon does not hold, and the rank
// of this daemon for it.
type unheldLease struct {
	// rank is the number of live daemons that are preferred to this one for the
	// duty; 0 is the most preferred.
	rank int
	ttl  time.Duration
	// freeSince is when the lease was first found free, by this daemon's clock;
	// zero while it is held.
	freeSince time.Time
	// expiresIn is the time until the lease expires while it is held.
	expiresIn time.Duration
}

// plan returns whether to acquire the lease now, and otherwise how long to wait
// before the next read. A daemon gives each daemon that is preferred to it half a
// lifetime to acquire a free lease. The more daemons are preferred to it, the less
// often it reads a held lease, so that the calls for a duty grow only with the
// logarithm of the number of daemons.
func (l unheldLease) plan(now time.Time, maxInterval time.Duration) (acquire bool, wait time.Duration) {
	if l.freeSince.IsZero() {
		// A holder renews well before the expiry, so a read just after the expiry
		// shows whether the holder is gone.
		return false, min(max(l.expiresIn, l.ttl/4)+time.Duration(l.rank)*l.ttl, maxInterval)
	}
	delay := min(time.Duration(l.rank)*l.ttl/2, maxInterval)
	if waited := now.Sub(l.freeSince); waited < delay {
		return false, delay - waited
	}
	return true, 0
}
