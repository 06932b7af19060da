// Package quota holds workspaces to their quotas. All daemons share a quota; each
// has a part of it as a token bucket of its own, so that no call crosses the
// network and a daemon that is cut off cannot spend what others hold.
package quota

import (
	"sync"
	"time"

	"rattantide/internal/fleetconfig"
)

const (
	// extraShare is the part of the allowed overshoot that is used. The rest
	// covers requests that arrive at their upstream in a later window.
	extraShare = 0.5
	// startSeconds is what a bucket holds at first, in seconds of its rate: an
	// earlier process of this daemon may have spent the burst.
	startSeconds = 1.0
	// maxAfter bounds the advised delay.
	maxAfter = 5 * time.Second
)

// Bound says by how much all daemons together may exceed a quota: by a share of
// what it allows per window, and by a fixed cost.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Options configures a Keeper. All fields are required.
type Options struct {
	// Part returns this daemon's part of each quota, 0 to 1.
	Part func() float64
	// Bound returns by how much a quota may be exceeded; it may change.
	Bound func() Bound
	// Now is the clock that counts suspensions.
	Now func() time.Time
}

// Keeper implements gateway.Quota. It is safe for concurrent use.
type Keeper struct {
	opts Options

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is this daemon's part of a workspace's quota.
type bucket struct {
	level float64
	at    time.Time
}

// NewKeeper returns a Keeper.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, buckets: map[string]*bucket{}}
}

// Take implements gateway.Quota.
func (k *Keeper) Take(w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration) {
	if w.Rate <= 0 {
		return true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b, rate, capacity := k.refill(w)
	// A request above the capacity passes when the bucket is full, and is paid
	// back before the next one.
	if b.level < min(cost, capacity) {
		wait := time.Duration((min(cost, capacity) - b.level) / rate * float64(time.Second))
		return false, min(wait, maxAfter)
	}
	b.level -= cost
	return true, 0
}

// Return implements gateway.Quota.
func (k *Keeper) Return(w *fleetconfig.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b, _, capacity := k.refill(w)
	b.level = min(capacity, b.level+cost)
}

// refill brings the workspace's bucket up to date. The lock is held.
func (k *Keeper) refill(w *fleetconfig.Workspace) (b *bucket, rate, capacity float64) {
	part := k.opts.Part()
	bound := k.opts.Bound()
	extra := extraShare * (bound.Overshoot*(w.Rate*bound.Window.Seconds()+w.Burst) + bound.Slack)
	rate = w.Rate * part
	capacity = (w.Burst + extra) * part
	now := k.opts.Now()
	b = k.buckets[w.Name]
	if b == nil {
		b = &bucket{level: rate * startSeconds, at: now}
		k.buckets[w.Name] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
	return b, rate, capacity
}
