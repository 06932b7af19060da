package burn

import (
	"time"

	"rattantide/internal/api"
)

// Counts contains the number of requests and, for each goal, of bad requests.
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

// requestsFor returns the number of requests that a goal applies to.
func (c *Counts) requestsFor(goal goalIndex) int64 {
	if goal == goalCompleteness {
		return c.Requests - c.Shed
	}
	return c.Requests
}

// countsForObservation returns the counts of one observation, evaluated against
// the targets of class. Without a class, no latency goal applies.
func countsForObservation(o *Observation, class *api.Class) Counts {
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
	c.Bad[goalFirstToken] = badLatency(o, o.FirstToken, class.Target.FirstToken, o.FirstToken > 0)
	c.Bad[goalBetweenTokens] = badLatency(o, o.BetweenTokens, class.Target.BetweenTokens, o.FirstToken > 0)
	c.Bad[goalAnswer] = badLatency(o, o.Total, class.Target.Answer, o.Outcome == OutcomeOK)
	return c
}

// badLatency returns 1 if measure exceeds limit, or if it is missing because the
// request failed or was shed. It returns 0 otherwise or if there is no limit.
func badLatency(o *Observation, measure time.Duration, limit api.Duration, measured bool) int64 {
	if limit <= 0 {
		return 0
	}
	if !measured && o.Outcome != OutcomeOK {
		return 1
	}
	if measure > limit.AsDuration() {
		return 1
	}
	return 0
}
