package routing

// LeastLoad picks the candidate with the lowest reported load and breaks ties
// at random. It is a baseline for comparisons: as reports lag, all daemons
// choose the same upstream until the next report.
type LeastLoad struct{}

// Pick implements Policy.
func (LeastLoad) Pick(req *Request, candidates []Candidate) int {
	source := bitSource(req.Rand)
	best, ties := -1, 0
	for i := range candidates {
		switch {
		case best < 0 || candidates[i].ReportedLoad < candidates[best].ReportedLoad:
			best, ties = i, 1
		case candidates[i].ReportedLoad == candidates[best].ReportedLoad:
			ties++
			if source.intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
