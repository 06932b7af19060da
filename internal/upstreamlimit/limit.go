package upstreamlimit

import "time"

const (
	// startingInterval is the minimum time between two requests of a daemon to an upstream
	// that has just started. It exceeds a second, so that requests that are delayed
	// differently do not arrive in the same second.
	startingInterval = 1100 * time.Millisecond
	// maxViews is the number of different views of the fleet that daemons may have, as on
	// two sides of a split. Each of them assigns an upstream to other daemons.
	maxViews = 2
	// namedShare is the share of a named limit that is used; the remainder covers daemons
	// whose views differ for a moment.
	namedShare = 0.9
	// minNamedRate is the rate of requests to an upstream that names a lower limit, or 0. An
	// upstream without requests could not tell that its limit has ended.
	minNamedRate = 0.25
)

// Limit is the number of requests that an upstream takes from all daemons together.
type Limit struct {
	Upstream          string
	RequestsPerSecond float64
	// IsStarting is set for an upstream that has just started. The limit then ends after
	// Duration, even if nobody tells so. Other limits end with the next Update without them.
	IsStarting bool
	Duration   time.Duration
}

// shares returns to how many of the daemons the upstream is assigned, and the time between
// two requests of each of them.
func (l Limit) shares(daemons int) (count int, interval time.Duration) {
	if l.IsStarting {
		return max(1, int(l.RequestsPerSecond/maxViews)), max(startingInterval, intervalOf(l.RequestsPerSecond/maxViews))
	}
	rate := max(l.RequestsPerSecond*namedShare, minNamedRate)
	count = max(1, min(daemons, 1+int(rate)))
	return count, time.Duration(count) * intervalOf(rate)
}

// intervalOf returns the time between two requests at a rate per second.
func intervalOf(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}
