package rollout

// VersionStats holds the results of one version, such as those in one stratum.
type VersionStats struct {
	Requests int
	Errors   int
	// First counts the times to the first token, or to the whole answer of a
	// service.
	First Histogram
	// Gap counts the mean times between tokens.
	Gap Histogram
}

// Merge adds the results of o.
func (s *VersionStats) Merge(o *VersionStats) {
	s.Requests += o.Requests
	s.Errors += o.Errors
	s.First.Merge(&o.First)
	s.Gap.Merge(&o.Gap)
}

// answered returns the number of requests that were answered, at least partially.
func (s *VersionStats) answered() int { return max(s.Requests-s.Errors, s.First.total) }

// sampleSize returns the number of samples of a metric.
func (s *VersionStats) sampleSize(metric string) int {
	switch metric {
	case metricErrors:
		return s.Requests
	case metricFirstToken:
		return s.First.total
	}
	return s.Gap.total
}

// errorExcess returns the number of errors of the new version beyond its expected
// number, less a tolerated share of its requests, and the variance under the
// hypothesis that both versions fail alike (Cochran-Mantel-Haenszel).
func errorExcess(newer, older *VersionStats, tolerated float64) (score, variance float64) {
	n, m := float64(newer.Requests), float64(older.Requests)
	total, failed := n+m, float64(newer.Errors+older.Errors)
	if n == 0 || m == 0 {
		return 0, 0
	}
	score = float64(newer.Errors) - n*failed/total - n*tolerated
	return score, n * m * failed * (total - failed) / (total * total * max(1, total-1))
}
