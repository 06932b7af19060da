package rollout

import "math"

// boundary returns the minimum score with the given variance that rejects, at level
// alpha, the hypothesis that the score has no positive drift. It is Robbins'
// normal mixture boundary: it may be evaluated after every request without raising
// the rate of false alarms. prior is the variance at which the test is the most
// sensitive.
func boundary(variance, prior, alpha float64) float64 {
	v := variance + prior
	return math.Sqrt(v * (math.Log(v/prior) + 2*math.Log(1/alpha)))
}
