package admission

import (
	"slices"
	"sort"
)

// fairShares answers how much work of other workspaces goes before a request.
type fairShares struct {
	// costs are the costs of the workspaces in ascending order, and sums those
	// of the first ones.
	costs, sums []float64
}

func newFairShares(q *classQueue) *fairShares {
	f := &fairShares{sums: make([]float64, 1, len(q.ring)+1)}
	for _, ws := range q.ring {
		f.costs = append(f.costs, ws.cost)
	}
	slices.Sort(f.costs)
	for i, cost := range f.costs {
		f.sums = append(f.sums, f.sums[i]+cost)
	}
	return f
}

// before returns the work of all workspaces but one with the given own cost,
// when each starts at most share.
func (f *fairShares) before(own, share float64) float64 {
	i := sort.SearchFloat64s(f.costs, share)
	return f.sums[i] + float64(len(f.costs)-i)*share - min(own, share)
}
