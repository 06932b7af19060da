package rollout

// Side is what was seen of one version in one stratum.
type Side struct {
	Requests int
	Errors   int
	// First counts times to first token, or to the whole answer of a service.
	First Histogram
	// Gap counts the mean times between tokens.
	Gap Histogram
}

// Merge adds what o has seen.
func (s *Side) Merge(o *Side) {
	s.Requests += o.Requests
	s.Errors += o.Errors
	s.First.Merge(&o.First)
	s.Gap.Merge(&o.Gap)
}

// answers returns how many requests were answered at least in part.
func (s *Side) answers() int { return max(s.Requests-s.Errors, s.First.total) }

// seen returns the sample size of a metric.
func (s *Side) seen(metric string) int {
	switch metric {
	case metricErrors:
		return s.Requests
	case metricFirst:
		return s.First.total
	}
	return s.Gap.total
}

// errorExcess returns how many more errors the new version had than its part
// of all errors, less a tolerated share, and the variance under the hypothesis
// that both versions fail alike (Cochran-Mantel-Haenszel).
func errorExcess(newer, older *Side, tolerated float64) (score, variance float64) {
	n, m := float64(newer.Requests), float64(older.Requests)
	total, failed := n+m, float64(newer.Errors+older.Errors)
	if n == 0 || m == 0 {
		return 0, 0
	}
	score = float64(newer.Errors) - n*failed/total - n*tolerated
	return score, n * m * failed * (total - failed) / (total * total * max(1, total-1))
}
