package autoscale

import "math"

const (
	// bucketWidth is the width of a Histogram's buckets, relative to the target.
	bucketWidth = 0.05
	// bucketCount covers ratios up to 1.2; the last bucket also holds all above.
	bucketCount = 24
)

// Histogram counts requests by their time to the first answer relative to the
// target. Those of several daemons can be added up.
type Histogram struct {
	Counts [bucketCount]int `json:"c"`
}

// Add counts a request.
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

// Lateness returns what the counts say; lateRatio is the ratio from which on a
// request counts as late, a multiple of the buckets' width.
func (h *Histogram) Lateness(lateRatio float64) Lateness {
	l := Lateness{}
	for _, n := range h.Counts {
		l.Requests += n
	}
	if l.Requests == 0 {
		return l
	}
	late, below := 0, 0
	half := float64(l.Requests) / 2
	for i, n := range h.Counts {
		if float64(i) >= math.Round(lateRatio/bucketWidth) {
			late += n
		}
		if float64(below) < half && float64(below+n) >= half {
			l.Median = bucketWidth * (float64(i) + (half-float64(below))/float64(n))
		}
		below += n
	}
	l.Late = float64(late) / float64(l.Requests)
	return l
}
