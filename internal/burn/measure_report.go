package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MeasureReport is the distribution of a measure of a class.
type MeasureReport struct {
	// Name is firstToken, betweenTokens or answer.
	Name string `json:"name"`
	// Windows contains the percentiles of each window with values, in the order
	// of the package variable Windows.
	Windows []Percentiles `json:"windows"`
	// Curve is the distribution in the longest window, for plots.
	Curve []CurvePoint `json:"curve"`
}

// newMeasureReport returns the report of a measure from its histograms in the
// order of Windows, and false if all of them are empty.
func newMeasureReport(name string, histograms []*hdrhistogram.Histogram) (MeasureReport, bool) {
	report := MeasureReport{Name: name, Windows: []Percentiles{}, Curve: []CurvePoint{}}
	for i, h := range histograms {
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		report.Windows = append(report.Windows, Percentiles{
			Window: Windows[i].Name, Count: h.TotalCount(),
			P50Ms: milliseconds(h.ValueAtQuantile(50)), P95Ms: milliseconds(h.ValueAtQuantile(95)),
			P99Ms: milliseconds(h.ValueAtQuantile(99)), MaxMs: milliseconds(h.Max()),
		})
		if i == len(histograms)-1 {
			report.Curve = newCurve(h)
		}
	}
	return report, len(report.Windows) > 0
}

// milliseconds converts a histogram value to milliseconds.
func milliseconds(value int64) float64 {
	return float64(value) * float64(histogramUnit) / float64(time.Millisecond)
}
