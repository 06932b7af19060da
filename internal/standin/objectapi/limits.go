package objectapi

import "golang.org/x/time/rate"

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(limitOf(0, perSecond), burstOf(0, perSecond))
}

func limitOf(fault, configured float64) rate.Limit {
	if fault > 0 {
		return rate.Limit(fault)
	}
	if configured > 0 {
		return rate.Limit(configured)
	}
	return rate.Inf
}

// burstOf allows the calls of one second at once.
func burstOf(fault, configured float64) int {
	if fault > 0 {
		configured = fault
	}
	return max(1, int(configured))
}
