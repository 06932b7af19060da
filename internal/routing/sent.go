package routing

// Sent is an attempt on its way, as Tracker.Ended needs it.
type Sent struct {
	name string
	// ahead and uncached are the prompt tokens that were expected to wait
	// before the request and to be processed for it.
	ahead    float64
	uncached float64
}

// Uncached returns the prompt tokens that were expected to be processed.
func (s Sent) Uncached() int { return int(s.uncached) }
