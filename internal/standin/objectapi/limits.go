package objectapi

import "golang.org/x/time/rate"

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(effectiveLimit(0, perSecond), effectiveBurst(0, perSecond))
}

// effectiveLimit returns the rate limit of the fault, if it is set, or else the
// configured one. 0 means no limit.
func effectiveLimit(fault, configured float64) rate.Limit {
	if fault > 0 {
		return rate.Limit(fault)
	}
	if configured > 0 {
		return rate.Limit(configured)
	}
	return rate.Inf
}

// effectiveBurst returns the burst for the rate that effectiveLimit returns: the
// number of calls of one second, and at least 1.
func effectiveBurst(fault, configured float64) int {
	if fault > 0 {
		configured = fault
	}
	return max(1, int(configured))
}
