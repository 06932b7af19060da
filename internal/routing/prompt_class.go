package routing

import "time"

// PromptClass describes the class of a request that has a prompt, as far as the choice of an
// upstream depends on it.
type PromptClass struct {
	Name string
	// FirstTarget is the time within which the request must be answered for the first time,
	// and PauseTarget the longest time between two parts of its answer; 0 means no target.
	FirstTarget time.Duration
	PauseTarget time.Duration
}

// tightest returns the shorter of the targets in seconds; 0 means that there is none.
func (c *PromptClass) tightest() float64 {
	target := c.FirstTarget
	if c.PauseTarget > 0 && (target <= 0 || c.PauseTarget < target) {
		target = c.PauseTarget
	}
	return target.Seconds()
}
