package routing

// heaviest holds the indices of the two candidates with the highest weights, the higher one first;
// -1 where there is none.
type heaviest struct {
	first, second             int
	firstWeight, secondWeight uint64
}

func newHeaviest() heaviest { return heaviest{first: -1, second: -1} }

// add adds a candidate.
func (h *heaviest) add(i int, weight uint64) {
	switch {
	case h.first < 0 || weight > h.firstWeight:
		h.second, h.secondWeight = h.first, h.firstWeight
		h.first, h.firstWeight = i, weight
	case h.second < 0 || weight > h.secondWeight:
		h.second, h.secondWeight = i, weight
	}
}
