package burn

import (
	"cmp"
	"slices"
)

// maxSpenders bounds the spenders listed for a goal.
const maxSpenders = 8

// Spender is a value of a dimension and its part in what was spent.
type Spender struct {
	Dimension string `json:"dimension"`
	Value     string `json:"value"`
	Requests  int64  `json:"requests"`
	Bad       int64  `json:"bad"`
	// Share is the share of all bad requests.
	Share float64 `json:"share"`
	// BadRate is the bad share of this value's own requests. A value that only
	// has much traffic has a high Share and an average BadRate.
	BadRate float64 `json:"badRate"`
}

func spendersOf(b *bucket, goal goalIndex) []Spender {
	out := []Spender{}
	total := b.counts.Bad[goal]
	for i, values := range b.spenders {
		for value, counts := range values {
			if counts == nil || counts.Bad[goal] <= 0 || total <= 0 {
				continue
			}
			bad := counts.Bad[goal]
			out = append(out, Spender{
				Dimension: dimensionNames[i], Value: value, Requests: counts.of(goal), Bad: bad,
				Share: float64(bad) / float64(total), BadRate: float64(bad) / float64(max(1, counts.of(goal))),
			})
		}
	}
	average := float64(total) / float64(max(1, b.counts.of(goal)))
	slices.SortFunc(out, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.excess(average), a.excess(average)), cmp.Compare(b.Bad, a.Bad),
			cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Value, b.Value))
	})
	return out[:min(len(out), maxSpenders)]
}

// excess is the number of bad requests above the average of the class.
func (s *Spender) excess(average float64) float64 {
	return float64(s.Bad) - average*float64(s.Requests)
}
