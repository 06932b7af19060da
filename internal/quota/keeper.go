// Package quota holds workspaces to their quotas. The daemon that holds a lease
// keeps a pool for all; the others ask it. A daemon that cannot reach it has a
// fixed part of each quota, so that what all daemons spend stays within the quota
// whoever is cut off.
package quota

import (
	"context"
	"sync"
	"time"

	"rattantide/internal/fleetconfig"
)

const (
	// ownPartAfter is the time without an answer of the pool after which a daemon
	// uses its fixed part.
	ownPartAfter = 1800 * time.Millisecond
	// moreRequests is how many requests of the same cost a daemon asks for in
	// addition, so that it asks less often.
	moreRequests = 2
	// creditRequests bounds what a daemon keeps of what it was granted.
	creditRequests = 4
)

// Source asks the pool of another daemon.
type Source interface {
	// Ask returns what was granted; ok is false without an answer.
	Ask(ctx context.Context, holder, workspace string, cost, more float64) (granted float64, after time.Duration, ok bool)
}

// Options configures a Keeper. All fields are required.
type Options struct {
	// Part returns this daemon's fixed part of each quota, 0 to 1.
	Part  func() float64
	Bound func() Bound
	// Pool answers while Held.
	Pool   *Pool
	Held   func() (fence int64, ok bool)
	Source Source
	// Now is the clock that counts suspensions.
	Now func() time.Time
}

// Keeper implements gateway.Quota. It is safe for concurrent use.
type Keeper struct {
	opts Options

	mu sync.Mutex
	// holder is the daemon with the pool, fence its token and heardAt when it was
	// asked the last time that it answered.
	holder  string
	fence   int64
	heardAt time.Time
	credits map[string]float64
	own     map[string]*bucket
	// ownSince is when the fixed part came into use; zero while the pool is.
	ownSince time.Time
}

// NewKeeper returns a Keeper.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, credits: map[string]float64{}, own: map[string]*bucket{}, ownSince: opts.Now()}
}

// Heard takes over what another daemon says of its lease; fence is 0 when it has
// none. askedAt is when the question was sent that it answered.
func (k *Keeper) Heard(daemon string, fence int64, askedAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case fence > k.fence || fence == k.fence && fence > 0 && daemon == k.holder:
		k.holder, k.fence = daemon, fence
		if askedAt.After(k.heardAt) {
			k.heardAt = askedAt
		}
	case fence == 0 && daemon == k.holder:
		k.holder = ""
	}
}

// Holder returns the daemon from whose pool this one takes its quotas, or "".
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pooled()
}

// Holds reports whether a daemon was last known to have the pool.
func (k *Keeper) Holds(daemon string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder != "" && k.holder == daemon
}

// pooled returns the daemon with the pool while it answers. The lock is held.
func (k *Keeper) pooled() string {
	if k.holder == "" || k.opts.Now().Sub(k.heardAt) >= ownPartAfter {
		return ""
	}
	return k.holder
}

// Take implements gateway.Quota.
func (k *Keeper) Take(ctx context.Context, w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration) {
	if w.Rate <= 0 || cost <= 0 {
		return true, 0
	}
	if fence, held := k.opts.Held(); held {
		k.opts.Pool.Open(fence)
		granted, after := k.opts.Pool.Grant(w, cost, 0)
		return granted > 0, after
	}
	k.mu.Lock()
	if k.credits[w.Name] >= cost {
		k.credits[w.Name] -= cost
		k.mu.Unlock()
		return true, 0
	}
	holder := k.pooled()
	if holder == "" {
		defer k.mu.Unlock()
		return k.takeOwn(w, cost)
	}
	k.ownSince = time.Time{}
	k.mu.Unlock()
	granted, after, answered := k.opts.Source.Ask(ctx, holder, w.Name, cost, moreRequests*cost)
	if !answered {
		return k.withoutAnswer(w, cost, holder)
	}
	if granted < cost {
		return false, max(after, minAfter)
	}
	k.credit(w, granted-cost, cost)
	return true, 0
}

// withoutAnswer takes from the fixed part because the holder did not answer. The
// pool is asked again once the holder is heard of.
func (k *Keeper) withoutAnswer(w *fleetconfig.Workspace, cost float64, holder string) (ok bool, after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder == holder {
		k.heardAt = time.Time{}
	}
	return k.takeOwn(w, cost)
}

// takeOwn takes from this daemon's fixed part. The lock is held.
func (k *Keeper) takeOwn(w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration) {
	now := k.opts.Now()
	if k.ownSince.IsZero() {
		// The pool may have granted what the part was worth until now.
		k.ownSince = now
		clear(k.own)
	}
	part := k.opts.Part()
	b := k.own[w.Name]
	if b == nil {
		b = newBucket(w, part, k.ownSince)
		k.own[w.Name] = b
	}
	rate, capacity := b.refill(w, k.opts.Bound(), part, now)
	return b.take(cost, rate, capacity)
}

// credit keeps what was granted and not spent, within a bound.
func (k *Keeper) credit(w *fleetconfig.Workspace, amount, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.credits[w.Name] = min(k.credits[w.Name]+amount, creditRequests*max(cost, w.PlainCost))
}

// Return implements gateway.Quota.
func (k *Keeper) Return(w *fleetconfig.Workspace, cost float64) {
	if w.Rate > 0 {
		k.credit(w, cost, cost)
	}
}
