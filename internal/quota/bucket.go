package quota

import (
	"time"

	"rattantide/internal/fleetconfig"
)

const (
	// usableOvershootShare is the share of the allowed overshoot that is used. The
	// remainder covers requests that reach their upstream in a later window, and the
	// second (userTimeout) in which a holder that the other daemons no longer reach
	// still grants from their shares.
	usableOvershootShare = 0.35
	// sustainedShare is the share of the burst and of the overshoot that is
	// spread over the window as an additional rate. A quota allows its rate
	// times the window plus the burst in any window, so a workspace that
	// constantly requests slightly more than its rate is within its quota.
	sustainedShare = 0.65
	// initialFillTime is the time for which the rate of a daemon's share is
	// credited when it joins a pool. The pool does not know what the daemon
	// spent before, but the first requests must not be delayed.
	initialFillTime = 200 * time.Millisecond
	// maxRetryAfter and minRetryAfter bound the advised retry delay.
	maxRetryAfter = 5 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

// Bound is the cost by which all daemons together may exceed a quota per
// window: a share (Overshoot) of what the quota allows per window, plus a fixed
// cost (Slack).
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// overshootCost returns the cost that may be spent above a quota per window.
func (b Bound) overshootCost(w *fleetconfig.Workspace) float64 {
	return usableOvershootShare * (b.Overshoot*(w.Rate*b.Window.Seconds()+w.Burst) + b.Slack)
}

// bucket is a token bucket for a share of a workspace's quota. The share may
// change over time.
type bucket struct {
	workspace  *fleetconfig.Workspace
	level      float64
	refilledAt time.Time
	// joinedShare is the value of Pool.joinedShare that the level accounts for.
	joinedShare float64
}

// newBucket returns a bucket for a share of a quota that has not been used
// since the given time.
func newBucket(w *fleetconfig.Workspace, share, joinedShare float64, since time.Time) *bucket {
	return &bucket{workspace: w, level: initialFillTime.Seconds() * w.Rate * share, refilledAt: since, joinedShare: joinedShare}
}

// refill updates the level to now for a share of the quota, 0 to 1, and returns
// the present rate and capacity. joinedShare is the sum of the shares of all
// daemons that have joined the pool so far.
func (b *bucket) refill(bound Bound, share, joinedShare float64, now time.Time) (rate, capacity float64) {
	w := b.workspace
	aboveRate := w.Burst + bound.overshootCost(w)
	rate = (w.Rate + sustainedShare*aboveRate/bound.Window.Seconds()) * share
	capacity = (1 - sustainedShare) * aboveRate * share
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.level += initialFillTime.Seconds() * w.Rate * (joinedShare - b.joinedShare)
	b.joinedShare = joinedShare
	b.level = min(b.level, capacity)
	return rate, capacity
}

// take consumes cost if the level allows it, or else returns when it may. A
// cost above the capacity is granted when the bucket is full; the level is then
// negative and must recover before the next grant.
func (b *bucket) take(cost, rate, capacity float64) (ok bool, retryAfter time.Duration) {
	needed := min(cost, capacity)
	if b.level >= needed && capacity > 0 {
		b.level -= cost
		return true, 0
	}
	if rate <= 0 {
		return false, maxRetryAfter
	}
	wait := time.Duration((needed - b.level) / rate * float64(time.Second))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}
