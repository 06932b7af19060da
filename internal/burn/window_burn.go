package burn

// WindowBurn is the burn of a goal's budget in a window.
type WindowBurn struct {
	Window   string `json:"window"`
	Requests int64  `json:"requests"`
	Bad      int64  `json:"bad"`
	// Rate is the share of bad requests divided by the share that the goal allows.
	// At 1 the budget is spent exactly as fast as it accrues.
	Rate float64 `json:"rate"`
}

// burnRate returns the share of bad requests divided by allowed, or 0 without
// requests. A goal that allows less than one bad request in 10,000 is treated as if it
// allowed one, so that the rate stays finite for a goal of 100%, which has no budget.
func burnRate(bad, requests int64, allowed float64) float64 {
	if requests == 0 || bad == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / max(allowed, 1e-4)
}
