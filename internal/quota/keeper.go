// Package quota holds workspaces to their quotas. The daemon that holds a lease
// keeps a pool for all; the others ask it. A daemon that cannot reach it has a
// fixed part of each quota, so that what all daemons spend stays within the quota
// whoever is cut off.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetconfig"
)

const (
	// ownPartAfter is the time without an answer of the pool after which a daemon
	// uses its fixed part.
	ownPartAfter = 1800 * time.Millisecond
	// creditLife is how long the cost of a request that did not run is kept for
	// the next one. What is kept longer would be spent in a window in which the
	// pool has granted it again.
	creditLife = 500 * time.Millisecond
)

// Source asks the pool of another daemon.
type Source interface {
	// Ask reports whether the pool granted the cost, or when it may; answered is
	// false without an answer.
	Ask(ctx context.Context, holder, workspace string, cost float64) (granted bool, after time.Duration, answered bool)
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
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
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
	credits map[string]credit
	own     map[string]*bucket
	// ownSince is when the fixed part came into use; zero while the pool is.
	ownSince time.Time
	// logged is the holder whose pool the latest log line named.
	logged string
}

// credit is the cost of requests that were granted and did not run.
type credit struct {
	cost float64
	at   time.Time
}

// NewKeeper returns a Keeper.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, credits: map[string]credit{}, own: map[string]*bucket{}, ownSince: opts.Now()}
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

// Fence returns the highest fencing token that was heard of.
func (k *Keeper) Fence() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence
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
		return k.opts.Pool.Grant(w, cost)
	}
	// Part takes a lock of the peers, which ask this Keeper under theirs.
	part := k.opts.Part()
	k.mu.Lock()
	if k.spendCredit(w.Name, cost) {
		k.mu.Unlock()
		return true, 0
	}
	holder := k.pooled()
	if holder == "" {
		defer k.mu.Unlock()
		return k.takeOwn(w, cost, part, "no pool is heard of")
	}
	k.ownSince = time.Time{}
	if k.logged != holder {
		k.logged = holder
		k.opts.Logger.Info("takes quotas from the pool", "holder", holder, "fence", k.fence)
	}
	k.mu.Unlock()
	granted, after, answered := k.opts.Source.Ask(ctx, holder, w.Name, cost)
	if !answered {
		return k.withoutAnswer(w, cost, part, holder)
	}
	return granted, max(after, minAfter)
}

// spendCredit takes a cost from what requests that did not run had taken. The
// lock is held.
func (k *Keeper) spendCredit(workspace string, cost float64) bool {
	held, known := k.credits[workspace]
	if !known || held.cost < cost || k.opts.Now().Sub(held.at) >= creditLife {
		return false
	}
	k.credits[workspace] = credit{cost: held.cost - cost, at: held.at}
	return true
}

// withoutAnswer takes from the fixed part because the holder did not answer. The
// pool is asked again once the holder is heard of.
func (k *Keeper) withoutAnswer(w *fleetconfig.Workspace, cost, part float64, holder string) (ok bool, after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after = k.takeOwn(w, cost, part, "the pool did not answer")
	if k.holder == holder {
		k.heardAt = time.Time{}
	}
	return ok, after
}

// takeOwn takes from this daemon's fixed part. The lock is held.
func (k *Keeper) takeOwn(w *fleetconfig.Workspace, cost, part float64, reason string) (ok bool, after time.Duration) {
	now := k.opts.Now()
	k.opts.Scope.Counter("quota_own_part").Inc(1)
	if k.logged != "" {
		k.opts.Logger.Warn("takes the fixed part of quotas", "reason", reason, "holder", k.holder, "fence", k.fence,
			"heardMs", now.Sub(k.heardAt).Milliseconds(), "part", part)
		k.logged = ""
	}
	if k.ownSince.IsZero() {
		// The pool may have granted what the part was worth until now.
		k.ownSince = now
		clear(k.own)
	}
	b := k.own[w.Name]
	if b == nil {
		b = newBucket(w, part, k.ownSince)
		k.own[w.Name] = b
	}
	rate, capacity := b.refill(w, k.opts.Bound(), part, now)
	return b.take(cost, rate, capacity)
}

// Return implements gateway.Quota.
func (k *Keeper) Return(w *fleetconfig.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	held := k.credits[w.Name]
	if now.Sub(held.at) >= creditLife {
		held = credit{at: now}
	}
	held.cost += cost
	k.credits[w.Name] = held
}
