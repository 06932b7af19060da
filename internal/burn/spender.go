package burn

import (
	"cmp"
	"slices"
)

// maxSpenders limits the number of spenders listed for a goal.
const maxSpenders = 8

// Spender is a value of a dimension, such as one workspace or version, with its
// share of the spent budget.
type Spender struct {
	Dimension string `json:"dimension"`
	Value     string `json:"value"`
	Requests  int64  `json:"requests"`
	Bad       int64  `json:"bad"`
	// Share is the share of this value in all bad requests.
	Share float64 `json:"share"`
	// BadRate is the share of bad requests in the requests of this value. A value
	// that merely has much traffic has a high Share and an average BadRate.
	BadRate float64 `json:"badRate"`
}

// topSpenders returns at most maxSpenders spenders of a goal's budget, sorted by
// excessBad.
func topSpenders(b *bucket, goal goalIndex) []Spender {
	spenders := []Spender{}
	total := b.counts.Bad[goal]
	for i, values := range b.spenders {
		for value, counts := range values {
			if counts == nil || counts.Bad[goal] <= 0 || total <= 0 {
				continue
			}
			bad := counts.Bad[goal]
			spenders = append(spenders, Spender{
				Dimension: dimensionNames[i], Value: value, Requests: counts.requestsFor(goal), Bad: bad,
				Share: float64(bad) / float64(total), BadRate: float64(bad) / float64(max(1, counts.requestsFor(goal))),
			})
		}
	}
	average := float64(total) / float64(max(1, b.counts.requestsFor(goal)))
	slices.SortFunc(spenders, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.excessBad(average), a.excessBad(average)), cmp.Compare(b.Bad, a.Bad),
			cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Value, b.Value))
	})
	return spenders[:min(len(spenders), maxSpenders)]
}

// excessBad returns the number of bad requests above those expected at average,
// the share of bad requests in the class.
func (s *Spender) excessBad(average float64) float64 {
	return float64(s.Bad) - average*float64(s.Requests)
}
