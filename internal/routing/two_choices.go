package routing

// TwoChoices draws two candidates and picks the one with the lower sum of
// reported load and this daemon's open attempts. It is a baseline for
// comparisons.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(req *Request, candidates []Candidate) int {
	n := len(candidates)
	if n < 2 {
		return n - 1
	}
	source := bitSource(req.Rand)
	a := source.intn(n)
	b := source.intn(n - 1)
	if b >= a {
		b++
	}
	if combinedLoad(&candidates[b]) < combinedLoad(&candidates[a]) {
		return b
	}
	return a
}

func combinedLoad(c *Candidate) int { return c.ReportedLoad + c.InFlight }
