package quota

import (
	"sync"
	"time"

	"rattantide/internal/fleetconfig"
)

const (
	// silentAfter is the time without a question of a daemon after which the pool
	// leaves it its fixed part. It is shorter than ownPartAfter, so that the two
	// are never spent at the same time.
	silentAfter = time.Second
)

// PoolOptions configures a Pool. All fields are required.
type PoolOptions struct {
	// Daemons returns the number of all daemons, this one included.
	Daemons func() int
	Bound   func() Bound
	// Now is the clock that counts suspensions.
	Now func() time.Time
}

// Pool holds the quotas of all workspaces for the daemons that ask it. Daemons
// that do not ask keep a fixed part each, which the pool leaves out. One daemon
// at a time, the holder of a lease, answers from its Pool. It is safe for
// concurrent use.
type Pool struct {
	opts PoolOptions

	mu      sync.Mutex
	fence   int64
	since   time.Time
	askers  map[string]time.Time
	buckets map[string]*bucket
}

// NewPool returns a Pool.
func NewPool(opts PoolOptions) *Pool { return &Pool{opts: opts} }

// Open makes the Pool start with empty buckets when the fencing token is new:
// what an earlier holder granted is not known.
func (p *Pool) Open(fence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fence == fence && p.buckets != nil {
		return
	}
	p.fence, p.since = fence, p.opts.Now()
	p.askers, p.buckets = map[string]time.Time{}, map[string]*bucket{}
}

// Heard records that a daemon takes its quotas from this Pool.
func (p *Pool) Heard(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.askers != nil {
		p.askers[daemon] = p.opts.Now()
	}
}

// part returns the part of the quotas that the pool may grant. The lock is held.
func (p *Pool) part(now time.Time) float64 {
	asking := 1
	for daemon, at := range p.askers {
		if now.Sub(at) >= silentAfter {
			delete(p.askers, daemon)
			continue
		}
		asking++
	}
	return min(1, float64(asking)/float64(max(1, p.opts.Daemons())))
}

// Grant takes cost from the workspace's quota, or says when that may be possible.
func (p *Pool) Grant(w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buckets == nil {
		return false, minAfter
	}
	now := p.opts.Now()
	part := p.part(now)
	b := p.buckets[w.Name]
	if b == nil {
		b = newBucket(w, part, p.since)
		p.buckets[w.Name] = b
	}
	rate, capacity := b.refill(w, p.opts.Bound(), part, now)
	return b.take(cost, rate, capacity)
}
