package routing

// TwoChoices draws two candidates and takes the one with the lower reported
// load plus own open attempts. It is a baseline.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(req *Request, candidates []Candidate) int {
	n := len(candidates)
	if n < 2 {
		return n - 1
	}
	source := bitSource(req.Rand)
	a := source.below(n)
	b := source.below(n - 1)
	if b >= a {
		b++
	}
	if load(&candidates[b]) < load(&candidates[a]) {
		return b
	}
	return a
}

func load(c *Candidate) int { return c.ReportedLoad + c.InFlight }
