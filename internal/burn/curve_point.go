package burn

import "github.com/HdrHistogram/hdrhistogram-go"

// CurvePoint is a point of a distribution: Above is the share of requests, 0 to 1,
// whose measure exceeds Ms milliseconds.
type CurvePoint struct {
	Ms    float64 `json:"ms"`
	Above float64 `json:"above"`
}

func newCurve(h *hdrhistogram.Histogram) []CurvePoint {
	points := []CurvePoint{}
	for _, bracket := range h.CumulativeDistributionWithTicks(4) {
		points = append(points, CurvePoint{Ms: milliseconds(bracket.ValueAt), Above: 1 - bracket.Quantile/100})
	}
	return points
}
