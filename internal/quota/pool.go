package quota

import (
	"sync"
	"time"

	"rattantide/internal/fleetconfig"
)

// userTimeout is the time without a message from a daemon after which its share
// no longer belongs to a pool.
const userTimeout = time.Second

// PoolOptions configures a Pool. All fields are required.
type PoolOptions struct {
	// Daemons returns the number of all daemons, including this one.
	Daemons func() int
	Bound   func() Bound
	// Now is the clock, which must include the time during which the machine is
	// suspended.
	Now func() time.Time
}

// Pool grants quota from the shares of the daemons that use it. Each of them
// lends 1/N of every quota to the pool, where N is the number of all daemons. As
// a daemon uses one pool at a time, no share is used in two pools for longer than
// userTimeout. Pool is safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu sync.Mutex
	// lastUse contains, by daemon, when it last reported that it uses this
	// pool. Daemons that have timed out remain for a window, so that a daemon
	// that returns does not receive the initial fill twice.
	lastUse map[string]time.Time
	// usedLocally reports whether the daemon of this pool uses it itself.
	usedLocally bool
	// share is the share of the quotas in effect since shareSince.
	share      float64
	shareSince time.Time
	// joinedShare is the sum of the shares of all daemons that have joined the
	// pool so far.
	joinedShare float64
	buckets     map[string]*bucket
}

// NewPool returns a Pool that no daemon uses yet.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts, shareSince: opts.Now(), lastUse: map[string]time.Time{}, buckets: map[string]*bucket{}}
}

// localUser is the key of the pool's own daemon in Pool.lastUse.
const localUser = ""

// SetLocalUse records whether the daemon of this Pool uses it itself.
func (p *Pool) SetLocalUse(isUsed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	switch {
	case isUsed && !p.usedLocally:
		p.addUser(localUser, now)
	case !isUsed && p.usedLocally:
		p.lastUse[localUser] = now.Add(-userTimeout)
	}
	p.usedLocally = isUsed
	p.updateShare(now)
}

// RecordUse records that another daemon uses this Pool.
func (p *Pool) RecordUse(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	p.addUser(daemon, now)
	p.updateShare(now)
}

// addUser records the use of the pool by a daemon, and credits its share when
// it joins. The caller holds p.mu.
func (p *Pool) addUser(daemon string, now time.Time) {
	if _, known := p.lastUse[daemon]; !known {
		p.joinedShare += 1 / float64(max(1, p.opts.Daemons()))
	}
	p.lastUse[daemon] = now
}

// RecordLeave records that a daemon now uses another pool.
func (p *Pool) RecordLeave(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	at, known := p.lastUse[daemon]
	if !known || now.Sub(at) >= userTimeout {
		return
	}
	p.lastUse[daemon] = now.Add(-userTimeout)
	p.updateShare(now)
}

// Tick removes the shares of daemons that have timed out. It must be called
// about once a second.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateShare(p.opts.Now())
}

// updateShare updates the share in effect from the daemons that use the pool.
// When it changes, the buckets are first refilled up to now with the previous
// share. The caller holds p.mu.
func (p *Pool) updateShare(now time.Time) {
	if p.usedLocally {
		p.lastUse[localUser] = now
	}
	users := 0
	for daemon, at := range p.lastUse {
		switch idle := now.Sub(at); {
		case idle < userTimeout:
			users++
		case idle >= p.opts.Bound().Window:
			delete(p.lastUse, daemon)
		}
	}
	share := min(1, float64(users)/float64(max(1, p.opts.Daemons())))
	if share == p.share {
		return
	}
	bound := p.opts.Bound()
	for _, b := range p.buckets {
		b.refill(bound, p.share, p.joinedShare, now)
		// A smaller share has a smaller capacity.
		b.refill(bound, share, p.joinedShare, now)
	}
	p.share, p.shareSince = share, now
}

// Grant consumes cost from the workspace's quota, or returns when that may be
// possible.
func (p *Pool) Grant(w *fleetconfig.Workspace, cost float64) (ok bool, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	p.updateShare(now)
	b := p.buckets[w.Name]
	if b == nil {
		b = newBucket(w, p.share, p.joinedShare, p.shareSince)
		p.buckets[w.Name] = b
	}
	b.workspace = w
	rate, capacity := b.refill(p.opts.Bound(), p.share, p.joinedShare, now)
	return b.take(cost, rate, capacity)
}
