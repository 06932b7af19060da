package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MeasureReport is the distribution of a measure of a class.
type MeasureReport struct {
	// Name is firstToken, betweenTokens or answer.
	Name string `json:"name"`
	// Windows is in the order of Windows and leaves out empty ones.
	Windows []Percentiles `json:"windows"`
	// Curve is the distribution in the longest window, for plots.
	Curve []CurvePoint `json:"curve"`
}

func reportMeasure(name string, histograms []*hdrhistogram.Histogram) (MeasureReport, bool) {
	out := MeasureReport{Name: name, Windows: []Percentiles{}, Curve: []CurvePoint{}}
	for i, h := range histograms {
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		out.Windows = append(out.Windows, Percentiles{
			Window: Windows[i].Name, Count: h.TotalCount(),
			P50Ms: milliseconds(h.ValueAtQuantile(50)), P95Ms: milliseconds(h.ValueAtQuantile(95)),
			P99Ms: milliseconds(h.ValueAtQuantile(99)), MaxMs: milliseconds(h.Max()),
		})
		if i == len(histograms)-1 {
			out.Curve = curveOf(h)
		}
	}
	return out, len(out.Windows) > 0
}

func milliseconds(value int64) float64 {
	return float64(value) * float64(unit) / float64(time.Millisecond)
}
