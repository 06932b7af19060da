package admission

import "math"

const (
	// deviations is how many mean deviations above the mean a request is
	// expected to take at most: about 95 in 100 are shorter. A request that is
	// admitted with less time left gets a part of its answer and then fails.
	deviations = 2
	// minDeviation is the least deviation as a share of the mean: the first
	// answers of a burst run side by side and take equally long, and say nothing
	// about how much others differ.
	minDeviation = 0.1
)

// serviceTime is a running mean of times and of their deviation, in seconds.
type serviceTime struct {
	mean      float64
	deviation float64
	n         int
}

// observe takes over a time with the given weight. The first ones have equal
// weights.
func (s *serviceTime) observe(seconds, share float64) {
	s.n++
	share = max(share, 1/float64(s.n))
	if s.n > 1 {
		s.deviation += share * (math.Abs(seconds-s.mean) - s.deviation)
	}
	s.mean += share * (seconds - s.mean)
}

// most returns the time within which nearly all requests end.
func (s *serviceTime) most() float64 {
	return s.mean + deviations*max(s.deviation, minDeviation*s.mean)
}
