package burn

// WindowBurn is the burn of a goal in a window.
type WindowBurn struct {
	Window   string `json:"window"`
	Requests int64  `json:"requests"`
	Bad      int64  `json:"bad"`
	// Rate is the bad share over the share that may be bad: at 1 the budget is
	// spent exactly as fast as it is given.
	Rate float64 `json:"rate"`
}

// rate returns 0 without requests. A goal of 100% has no budget: any bad
// request then counts as if one in 10,000 were allowed, so that the rate stays
// finite.
func rate(bad, requests int64, allowed float64) float64 {
	if requests == 0 || bad == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / max(allowed, 1e-4)
}
