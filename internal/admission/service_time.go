package admission

import "math"

// deviations is how many mean deviations above the mean a request is expected to
// take at most: about 95 in 100 are shorter. A request that is admitted with
// less time left gets a part of its answer and then fails.
const deviations = 2

// serviceTime is a running mean of times and of their deviation, in seconds.
type serviceTime struct {
	mean      float64
	deviation float64
}

func (s *serviceTime) observe(total float64) {
	if s.mean > 0 {
		s.deviation = learn(s.deviation, math.Abs(total-s.mean))
	}
	s.mean = learn(s.mean, total)
}

// most returns the time within which nearly all requests end.
func (s *serviceTime) most() float64 { return s.mean + deviations*s.deviation }
