package autoscale

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a median that differs from that of the requests by more than a
// bucket, and against a wrong share of late requests, also after the Histograms of
// several daemons are merged.
func TestHistogramSummary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratios := rapid.SliceOfN(rapid.Float64Range(0, 1.1), 1, 200).Draw(t, "ratios")
		var halves [2]Histogram
		late := 0
		for i, ratio := range ratios {
			halves[i%2].Add(ratio)
			if math.Floor(ratio/bucketWidth) >= 14 {
				late++
			}
		}
		var all Histogram
		all.Merge(&halves[0])
		all.Merge(&halves[1])
		got := all.Summary(0.7)
		assert.Equal(t, got.Requests, len(ratios))
		assert.Equal(t, got.LateShare, float64(late)/float64(len(ratios)))
		slices.Sort(ratios)
		low, high := ratios[(len(ratios)-1)/2], ratios[len(ratios)/2]
		assert.Assert(t, got.Median >= low-bucketWidth && got.Median <= high+bucketWidth, "%v for %v to %v", got.Median, low, high)
	})
}

// Guards against a panic on a ratio beyond all buckets, or on a negative one after
// the clock was set back.
func TestHistogramBounds(t *testing.T) {
	var h Histogram
	for _, ratio := range []float64{-1, 0, 1.2, 1e9, math.Inf(1)} {
		h.Add(ratio)
	}
	assert.Equal(t, h.Summary(0.7), LatencySummary{Median: bucketWidth * (bucketCount - 1 + 0.5/3), LateShare: 0.6, Requests: 5})
	assert.Equal(t, (&Histogram{}).Summary(0.7), LatencySummary{})
}
