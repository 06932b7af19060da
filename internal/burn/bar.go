package burn

import (
	"fmt"
	"math"
)

// The layout of the burn plot.
const (
	// barWidth is the width of a full bar in pixels.
	barWidth = 320.0
	// maxBarRate is the burn rate at which a bar is full.
	maxBarRate = 20.0
)

// bar is the bar of one window in the burn plot of a goal. page.html reads its
// fields, draws the bar from x = 40 and marks a rate of 1 by a line at x = 179, which
// is 40 plus the width of a bar with that rate.
type bar struct {
	Y, Width  float64
	Label     string
	Rate      string
	Overspent bool
}

// newBars returns the bars for the burn of a goal. The scale is logarithmic from
// 0.1 to maxBarRate, so that a rate of 1, at which the budget is spent exactly as
// fast as it accrues, stays visible.
func newBars(burn []WindowBurn) []bar {
	bars := make([]bar, len(burn))
	for i, b := range burn {
		bars[i] = bar{
			Y: float64(i) * 18, Width: barWidth * logScale(b.Rate), Label: b.Window,
			Rate:      fmt.Sprintf("%.2f (%d of %d)", b.Rate, b.Bad, b.Requests),
			Overspent: b.Rate > 1,
		}
	}
	return bars
}

// logScale maps a burn rate to 0 to 1 on the logarithmic scale of a bar.
func logScale(rate float64) float64 {
	const lowest = 0.1
	return min(1, max(0, math.Log(rate/lowest)/math.Log(maxBarRate/lowest)))
}
