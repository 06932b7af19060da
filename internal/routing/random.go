package routing

// Random picks any candidate with equal probability. It is a baseline for
// comparisons.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(req *Request, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	source := bitSource(req.Rand)
	return source.intn(len(candidates))
}
