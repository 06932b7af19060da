package burn

import "github.com/HdrHistogram/hdrhistogram-go"

// CurvePoint says which share of requests is above Ms.
type CurvePoint struct {
	Ms    float64 `json:"ms"`
	Above float64 `json:"above"`
}

func curveOf(h *hdrhistogram.Histogram) []CurvePoint {
	points := []CurvePoint{}
	for _, bracket := range h.CumulativeDistributionWithTicks(4) {
		points = append(points, CurvePoint{Ms: milliseconds(bracket.ValueAt), Above: 1 - bracket.Quantile/100})
	}
	return points
}
