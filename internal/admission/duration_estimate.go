package admission

import "math"

const (
	// maxDeviations is the number of mean deviations above the mean within
	// which a request is expected to end: about 95 in 100 requests do. A request
	// that is admitted with less time left fails after a partial answer.
	maxDeviations = 2
	// minDeviation is the minimum deviation as a share of the mean. The first
	// answers of a burst run concurrently and take equally long, so their
	// deviation does not show how much the durations of requests differ.
	minDeviation = 0.1
)

// durationEstimate is the running mean and the running mean deviation of durations,
// in seconds.
type durationEstimate struct {
	mean      float64
	deviation float64
	n         int
}

// observe adds a duration with the given weight. The first observations are
// weighted equally.
func (s *durationEstimate) observe(seconds, weight float64) {
	s.n++
	weight = max(weight, 1/float64(s.n))
	if s.n > 1 {
		s.deviation += weight * (math.Abs(seconds-s.mean) - s.deviation)
	}
	s.mean += weight * (seconds - s.mean)
}

// upperBound returns the duration within which nearly all requests end.
func (s *durationEstimate) upperBound() float64 {
	return s.mean + maxDeviations*max(s.deviation, minDeviation*s.mean)
}
