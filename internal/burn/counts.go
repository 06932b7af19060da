package burn

import (
	"time"

	"rattantide/internal/api"
)

// Counts counts requests and, for each goal, the bad ones.
type Counts struct {
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	Shed     int64 `json:"shed"`
	// Bad is indexed by goal: firstToken, betweenTokens, answer, completeness.
	Bad [goalCount]int64 `json:"bad"`
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.Failed += other.Failed
	c.Shed += other.Shed
	for i := range c.Bad {
		c.Bad[i] += other.Bad[i]
	}
}

// of returns how many requests a goal is about.
func (c *Counts) of(goal goalIndex) int64 {
	if goal == goalCompleteness {
		return c.Requests - c.Shed
	}
	return c.Requests
}

// countOf judges one observation by the targets that are in effect now.
func countOf(o *Observation, class *api.Class) Counts {
	c := Counts{Requests: 1}
	switch o.Outcome {
	case OutcomeFailed:
		c.Failed = 1
		c.Bad[goalCompleteness] = 1
	case OutcomeShed:
		c.Shed = 1
	}
	if class == nil {
		return c
	}
	c.Bad[goalFirstToken] = late(o, o.FirstToken, class.Target.FirstToken, o.FirstToken > 0)
	c.Bad[goalBetweenTokens] = late(o, o.BetweenTokens, class.Target.BetweenTokens, o.FirstToken > 0)
	c.Bad[goalAnswer] = late(o, o.Total, class.Target.Answer, o.Outcome == OutcomeOK)
	return c
}

// late returns 1 when a measure is above its limit, or missing on a request
// that did not end well.
func late(o *Observation, measure time.Duration, limit api.Duration, measured bool) int64 {
	if limit <= 0 {
		return 0
	}
	if !measured && o.Outcome != OutcomeOK {
		return 1
	}
	if measure > limit.D() {
		return 1
	}
	return 0
}
