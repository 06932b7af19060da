package burn

import (
	"fmt"
	"math"
	"strings"
)

// The size of a distribution plot in pixels.
const (
	plotWidth  = 420.0
	plotHeight = 160.0
)

// plot is the SVG plot of the distribution of a measure. Coordinates are in
// pixels. page.html reads its fields.
type plot struct {
	Path        string
	XTicks      []tick
	YTicks      []tick
	LimitX      float64
	HasLimit    bool
	Description string
}

// tick is a mark on an axis, At pixels from its start.
type tick struct {
	At    float64
	Label string
}

// newPlot plots the share of requests that take longer than a time against that
// time, on logarithmic axes, with the limit of the goal as a line.
func newPlot(m MeasureReport, goals []GoalReport) plot {
	result := plot{Description: m.Name + ": share of requests that take longer"}
	if len(m.Curve) == 0 {
		return result
	}
	low, high := math.Inf(1), 1.0
	for _, p := range m.Curve {
		low, high = min(low, max(p.Ms, 0.1)), max(high, p.Ms)
	}
	// The X axis shows whole decades, from 10^first to 10^last milliseconds.
	first, last := math.Floor(math.Log10(low)), math.Ceil(math.Log10(high))
	last = max(last, first+1)
	x := func(ms float64) float64 { return plotWidth * (math.Log10(max(ms, 0.1)) - first) / (last - first) }
	// The Y axis shows shares from 100% down to 0.01%.
	const decades = 4.0
	y := func(share float64) float64 {
		return plotHeight * min(decades, max(0, -math.Log10(max(share, 1e-9)))) / decades
	}
	var path strings.Builder
	for i, p := range m.Curve {
		command := "L"
		if i == 0 {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", command, x(p.Ms), y(p.Above))
	}
	result.Path = path.String()
	for d := first; d <= last; d++ {
		result.XTicks = append(result.XTicks, tick{At: plotWidth * (d - first) / (last - first), Label: fmt.Sprintf("%g ms", math.Pow(10, d))})
	}
	for d := 0.0; d <= decades; d++ {
		result.YTicks = append(result.YTicks, tick{At: plotHeight * d / decades, Label: fmt.Sprintf("%g%%", 100*math.Pow(10, -d))})
	}
	for _, g := range goals {
		if g.Name == m.Name && g.LimitMs > 0 {
			result.LimitX, result.HasLimit = min(plotWidth, max(0, x(g.LimitMs))), true
		}
	}
	return result
}
