package server

import (
	"time"

	"rattantide/internal/api"
)

const (
	// firstEventFactor and nextEventFactor are the ratios of the progress
	// timeouts to the latency targets. A healthy but loaded engine exceeds its
	// targets by less.
	firstEventFactor   = 3
	nextEventFactor    = 20
	minProgressTimeout = time.Second
)

// progressTimeouts are the longest waits for the first and for each further event of
// an attempt.
type progressTimeouts struct {
	firstEvent, nextEvent time.Duration
}

func (o *Options) progressTimeoutsFor(class *api.Class) progressTimeouts {
	timeouts := progressTimeouts{firstEvent: o.FirstEventTimeout, nextEvent: o.NextEventTimeout}
	target := api.Target{}
	if class != nil {
		target = class.Target
	}
	if timeouts.firstEvent <= 0 {
		timeouts.firstEvent = max(firstEventFactor*max(target.FirstToken.AsDuration(), target.Answer.AsDuration()), minProgressTimeout)
	}
	if timeouts.nextEvent <= 0 {
		timeouts.nextEvent = max(nextEventFactor*target.BetweenTokens.AsDuration(), minProgressTimeout)
	}
	return timeouts
}
