package fleetconfig

// Workspace is a customer organization with its API keys and its quota.
type Workspace struct {
	Name string
	Keys []string
	// Urgency overrides the urgency of the route unless it is nil.
	Urgency *int
	// Rate and Burst are the quota for all daemons together, in tokens per second
	// and tokens, or in requests per second and requests if CountsRequests is set.
	// A rate of 0 means no limit.
	Rate           float64
	Burst          float64
	CountsRequests bool
	// DefaultCost is the cost, in tokens, of a call whose number of tokens is
	// unknown.
	DefaultCost float64
}

// Cost returns the amount by which a call reduces the quota, in the units of Rate.
func (w *Workspace) Cost(tokens int, tokensKnown bool) float64 {
	switch {
	case w.CountsRequests:
		return 1
	case tokensKnown:
		return float64(tokens)
	}
	return w.DefaultCost
}
