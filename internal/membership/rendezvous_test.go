package membership

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against daemons that choose others than the first ones of the full order, on
// which the other daemons agree.
func TestTopAndRankAgreeWithTheFullOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 3, -1), 1, 40, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		ranked := RankByWeight(key, names)
		count := rapid.IntRange(0, 5).Draw(t, "count")
		assert.Assert(t, slices.Equal(TopByWeight(key, names, count), ranked[:min(count, len(ranked))]))
		for i, name := range ranked {
			assert.Equal(t, RankOf(key, name, names), i)
		}
	})
}
