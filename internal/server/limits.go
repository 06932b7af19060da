package server

import (
	"time"

	"rattantide/internal/api"
)

const (
	// firstEventFactor and nextEventFactor are the ratios of the progress
	// deadlines to the latency targets. A healthy but loaded engine exceeds its
	// targets by less.
	firstEventFactor = 3
	nextEventFactor  = 20
	minProgressLimit = time.Second
)

// progressLimits are the longest waits for the first and for each further event of
// an attempt.
type progressLimits struct {
	firstEvent, nextEvent time.Duration
}

func (o *Options) progressLimitsFor(class *api.Class) progressLimits {
	limits := progressLimits{firstEvent: o.FirstEventTimeout, nextEvent: o.NextEventTimeout}
	target := api.Target{}
	if class != nil {
		target = class.Target
	}
	if limits.firstEvent <= 0 {
		limits.firstEvent = max(firstEventFactor*max(target.FirstToken.AsDuration(), target.Answer.AsDuration()), minProgressLimit)
	}
	if limits.nextEvent <= 0 {
		limits.nextEvent = max(nextEventFactor*target.BetweenTokens.AsDuration(), minProgressLimit)
	}
	return limits
}
