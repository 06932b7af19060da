package fleetconfig

// Workspace is a customer organisation with its keys and its quota.
type Workspace struct {
	Name string
	Keys []string
	// Urgency takes precedence over the route's; nil means that the route
	// decides.
	Urgency *int
	// Rate and Burst are the quota of all daemons together, in tokens per second
	// and tokens, or in requests when CountsRequests is set. A rate of 0 means
	// no limit.
	Rate           float64
	Burst          float64
	CountsRequests bool
	// PlainCost is the cost in tokens of a call that names no tokens.
	PlainCost float64
}

// Cost returns what a call takes from the quota.
func (w *Workspace) Cost(tokens int, tokensKnown bool) float64 {
	switch {
	case w.CountsRequests:
		return 1
	case tokensKnown:
		return float64(tokens)
	}
	return w.PlainCost
}
