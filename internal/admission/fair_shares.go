package admission

import (
	"slices"
	"sort"
)

// fairShares computes how much work of other workspaces starts before a
// request.
type fairShares struct {
	// costs are the costs of the workspaces in ascending order. prefixSums[i] is
	// the sum of the first i costs.
	costs, prefixSums []float64
}

func newFairShares(q *classQueue) *fairShares {
	f := &fairShares{prefixSums: make([]float64, 1, len(q.ring)+1)}
	for _, ws := range q.ring {
		f.costs = append(f.costs, ws.cost)
	}
	slices.Sort(f.costs)
	for i, cost := range f.costs {
		f.prefixSums = append(f.prefixSums, f.prefixSums[i]+cost)
	}
	return f
}

// costBefore returns the work of all workspaces except one whose cost is
// ownCost, when each starts at most share.
func (f *fairShares) costBefore(ownCost, share float64) float64 {
	i := sort.SearchFloat64s(f.costs, share)
	return f.prefixSums[i] + float64(len(f.costs)-i)*share - min(ownCost, share)
}
