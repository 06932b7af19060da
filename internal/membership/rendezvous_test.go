package membership

import (
	"cmp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// rankByWeight sorts all names by their weight for the key, the highest first.
func rankByWeight(key string, names []string) []string {
	return slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
}

// Guards against daemons that choose others than the first ones of the full order, on
// which the other daemons agree.
func TestTopAndRankAgreeWithTheFullOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 3, -1), 1, 40, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		ranked := rankByWeight(key, names)
		count := rapid.IntRange(0, 5).Draw(t, "count")
		assert.Assert(t, slices.Equal(TopByWeight(key, names, count), ranked[:min(count, len(ranked))]))
		for i, name := range ranked {
			assert.Equal(t, RankOf(key, name, names), i)
		}
	})
}
