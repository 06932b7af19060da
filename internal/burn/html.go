package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bars":    barsOf,
	"curve":   plotOf,
	"percent": func(share float64) string { return fmt.Sprintf("%.4g%%", share*100) },
	"number":  func(v float64) string { return fmt.Sprintf("%.3g", v) },
	"instant": func(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) },
}).Parse(pageText))

// WriteHTML writes the report as one page with its plots in SVG. The page
// loads nothing from elsewhere.
func (r *Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }

// The sizes of the plots in pixels.
const (
	barWidth   = 320.0
	plotWidth  = 420.0
	plotHeight = 160.0
	// barRate is the burn rate at which a bar is full.
	barRate = 20.0
)

// bar is one window of a goal in the burn plot.
type bar struct {
	Y, Width  float64
	Label     string
	Rate      string
	Overspent bool
}

// barsOf lays out the burn of a goal. The scale is logarithmic from 0.1 to
// barRate, so that 1, where the budget is spent as given, stays visible.
func barsOf(burn []WindowBurn) []bar {
	out := make([]bar, len(burn))
	for i, b := range burn {
		out[i] = bar{
			Y: float64(i) * 18, Width: barWidth * burnScale(b.Rate), Label: b.Window,
			Rate:      fmt.Sprintf("%.2f (%d of %d)", b.Rate, b.Bad, b.Requests),
			Overspent: b.Rate > 1,
		}
	}
	return out
}

func burnScale(rate float64) float64 {
	const lowest = 0.1
	return min(1, max(0, math.Log(rate/lowest)/math.Log(barRate/lowest)))
}

// plot is the distribution of a measure, as an SVG path.
type plot struct {
	Path        string
	XTicks      []tick
	YTicks      []tick
	LimitX      float64
	HasLimit    bool
	Description string
}

type tick struct {
	At    float64
	Label string
}

// plotOf plots the share of requests above a time against the time, both
// logarithmic, with the goal's limit as a line.
func plotOf(m MeasureReport, goals []GoalReport) plot {
	out := plot{Description: m.Name + ": share of requests that take longer"}
	if len(m.Curve) == 0 {
		return out
	}
	low, high := math.Inf(1), 1.0
	for _, p := range m.Curve {
		low, high = min(low, max(p.Ms, 0.1)), max(high, p.Ms)
	}
	first, last := math.Floor(math.Log10(low)), math.Ceil(math.Log10(high))
	last = max(last, first+1)
	x := func(ms float64) float64 { return plotWidth * (math.Log10(max(ms, 0.1)) - first) / (last - first) }
	const decades = 4.0
	y := func(above float64) float64 {
		return plotHeight * min(decades, -math.Log10(max(above, 1e-9))) / decades
	}
	var path strings.Builder
	for i, p := range m.Curve {
		command := "L"
		if i == 0 {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", command, x(p.Ms), y(p.Above))
	}
	out.Path = path.String()
	for d := first; d <= last; d++ {
		out.XTicks = append(out.XTicks, tick{At: plotWidth * (d - first) / (last - first), Label: fmt.Sprintf("%g ms", math.Pow(10, d))})
	}
	for d := 0.0; d <= decades; d++ {
		out.YTicks = append(out.YTicks, tick{At: plotHeight * d / decades, Label: fmt.Sprintf("%g%%", 100*math.Pow(10, -d))})
	}
	for _, g := range goals {
		if g.Name == m.Name && g.LimitMs > 0 {
			out.LimitX, out.HasLimit = min(plotWidth, max(0, x(g.LimitMs))), true
		}
	}
	return out
}
