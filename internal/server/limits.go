package server

import (
	"time"

	"rattantide/internal/api"
)

const (
	// firstFactor and nextFactor relate the progress deadlines to the targets:
	// a healthy but loaded engine misses its target by less.
	firstFactor = 3
	nextFactor  = 20
	minProgress = time.Second
)

// limits are the progress deadlines of one request.
type limits struct {
	first, next time.Duration
}

func (o *Options) limitsFor(class *api.Class) limits {
	l := limits{first: o.FirstEvent, next: o.NextEvent}
	target := api.Target{}
	if class != nil {
		target = class.Target
	}
	if l.first <= 0 {
		l.first = max(firstFactor*max(target.FirstToken.D(), target.Answer.D()), minProgress)
	}
	if l.next <= 0 {
		l.next = max(nextFactor*target.BetweenTokens.D(), minProgress)
	}
	return l
}
