package handoff

import (
	"sync/atomic"
	"time"
)

// pulse notices that this process was stopped for a while. It is safe for
// concurrent use.
type pulse struct {
	now   func() time.Time
	bound time.Duration
	start time.Time
	// last is the time of the last beat, counted from start.
	last atomic.Int64
}

func newPulse(now func() time.Time, bound time.Duration) *pulse {
	return &pulse{now: now, bound: bound, start: now()}
}

// beat reports whether the time since the last beat is above the bound.
func (p *pulse) beat() bool {
	now := int64(p.now().Sub(p.start))
	return time.Duration(now-p.last.Swap(now)) > p.bound
}

// late reports whether the next beat will find a gap.
func (p *pulse) late() bool {
	return p.now().Sub(p.start)-time.Duration(p.last.Load()) > p.bound
}
