package burn

import (
	"fmt"
	"math"
)

// The burn plot. Sizes are in pixels.
const (
	barWidth = 320.0
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
