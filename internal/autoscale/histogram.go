package autoscale

import "math"

const (
	// bucketWidth is the width of a Histogram's buckets as a ratio to the
	// target.
	bucketWidth = 0.05
	// bucketCount covers ratios up to 1.2; the last bucket also counts all
	// higher ones.
	bucketCount = 24
)

// Histogram counts requests by the ratio of their time to the first answer to its
// target. The Histograms of several daemons can be merged. It is not safe for
// concurrent use.
type Histogram struct {
	Counts [bucketCount]int `json:"c"`
}

// Add counts a request with the given ratio of its time to the first answer to the
// target. Negative ratios count as 0.
func (h *Histogram) Add(ratio float64) {
	bucket := min(max(0, math.Floor(ratio/bucketWidth)), bucketCount-1)
	h.Counts[int(bucket)]++
}

// Merge adds the counts of another Histogram.
func (h *Histogram) Merge(other *Histogram) {
	for i, n := range other.Counts {
		h.Counts[i] += n
	}
}

// Summary summarizes the counted requests. A request counts as late if its ratio
// is at least lateRatio, which must be a multiple of the buckets' width.
func (h *Histogram) Summary(lateRatio float64) LatencySummary {
	summary := LatencySummary{}
	for _, n := range h.Counts {
		summary.Requests += n
	}
	if summary.Requests == 0 {
		return summary
	}
	late, below := 0, 0
	half := float64(summary.Requests) / 2
	for i, n := range h.Counts {
		if float64(i) >= math.Round(lateRatio/bucketWidth) {
			late += n
		}
		if float64(below) < half && float64(below+n) >= half {
			summary.Median = bucketWidth * (float64(i) + (half-float64(below))/float64(n))
		}
		below += n
	}
	summary.LateShare = float64(late) / float64(summary.Requests)
	return summary
}
