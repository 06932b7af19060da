package upstreampath

import (
	"context"
	"sync"
	"time"

	"rattantide/internal/periodic"
)

const (
	// silenceTime is the time without a sign of any upstream of a pool after which waiting
	// calls make the pool be probed. A sound upstream may take as long for an answer.
	silenceTime = 400 * time.Millisecond
	// enoughFailures is the number of upstreams of a pool to which connecting must fail, with
	// no sign of any other, until the path counts as lost. A smaller pool counts as lost once
	// all of its upstreams failed.
	enoughFailures = 3
	// failureMemory is how long a failed connection counts.
	failureMemory = 3 * time.Second
	// probeInterval is the time between two probes of a pool whose path is lost. Each probes
	// one upstream.
	probeInterval = 250 * time.Millisecond
	// logInterval is the minimum time between two log lines of a pool, as a path may come and
	// go many times a second while open connections live and new ones are refused.
	logInterval = time.Second
	// tickInterval is the time between two checks.
	tickInterval = 100 * time.Millisecond
)

// Monitor judges the path to each pool. It is safe for concurrent use.
type Monitor struct {
	opts Options

	mu    sync.Mutex
	paths map[string]*poolPath
	// pools holds the pool of each upstream by address, and upstreams the addresses by pool.
	pools     map[string]string
	upstreams map[string][]string
}

// New returns a Monitor that knows no upstreams until SetUpstreams.
func New(opts Options) *Monitor {
	return &Monitor{opts: opts, paths: map[string]*poolPath{}}
}

// Run probes pools that are silent or lost until ctx ends. It returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	return periodic.Every(ctx, tickInterval, m.tick)
}

// SetUpstreams replaces the upstreams that may be sent requests.
func (m *Monitor) SetUpstreams(upstreams []Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pools, m.upstreams = map[string]string{}, map[string][]string{}
	for _, u := range upstreams {
		m.pools[u.Address] = u.Pool
		m.upstreams[u.Pool] = append(m.upstreams[u.Pool], u.Address)
		if m.paths[u.Pool] == nil {
			m.paths[u.Pool] = newPoolPath()
		}
	}
	for pool, path := range m.paths {
		if len(m.upstreams[pool]) == 0 && len(path.calls) == 0 {
			delete(m.paths, pool)
		}
	}
}

// Start records the beginning of a call to an address. abandon is called if the path to the
// upstream's pool is lost during the call; nil means that the call goes on. It returns nil,
// whose methods do nothing, for an unknown address.
func (m *Monitor) Start(address string, abandon func()) *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	pool := m.pools[address]
	return m.start(pool, abandon)
}

// StartInPool is Start for a call to any upstream of a pool.
func (m *Monitor) StartInPool(pool string, abandon func()) *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.start(pool, abandon)
}

// start records the beginning of a call. m.mu must be held.
func (m *Monitor) start(pool string, abandon func()) *Call {
	path := m.paths[pool]
	if path == nil {
		return nil
	}
	c := &Call{monitor: m, path: path, pool: pool, abandon: abandon, heardAt: m.opts.Now()}
	path.calls[c] = true
	return c
}

// RecordConnect records whether connecting to an address succeeded.
func (m *Monitor) RecordConnect(address string, err error) {
	m.mu.Lock()
	pool := m.pools[address]
	path := m.paths[pool]
	if path == nil {
		m.mu.Unlock()
		return
	}
	before := path.isLost
	if err == nil {
		m.hear(path)
	} else {
		m.fail(pool, path, address)
	}
	after := path.isLost
	m.mu.Unlock()
	if before != after {
		m.publish(pool, after)
	}
}

// hearFrom records that anything was received from an address.
func (m *Monitor) hearFrom(address string) { m.RecordConnect(address, nil) }

// hear records a sign of an upstream and reports whether the path was lost until now. m.mu
// must be held.
func (m *Monitor) hear(path *poolPath) (isBack bool) {
	now := m.opts.Now()
	path.heardAt = now
	clear(path.failedAt)
	if !path.isLost {
		return false
	}
	path.isLost, path.lostUntil = false, now
	return true
}

// fail records that connecting failed, and abandons calls once the path counts as lost. m.mu
// must be held.
func (m *Monitor) fail(pool string, path *poolPath, address string) {
	now := m.opts.Now()
	path.failedAt[address] = now
	if path.isLost || path.failures(now) < min(enoughFailures, len(m.upstreams[pool])) {
		return
	}
	path.isLost = true
	for c := range path.calls {
		if c.abandon != nil {
			c.abandon()
		}
	}
}

// publish tells that the path to a pool was lost or is back.
func (m *Monitor) publish(pool string, lost bool) {
	if m.mayLog(pool) {
		m.opts.Logger.Info("path to upstreams changed", "pool", pool, "lost", lost)
	}
	m.opts.Scope.Tagged(map[string]string{"pool": pool}).Counter("upstream_path_changes").Inc(1)
	m.opts.OnChange(pool, lost)
}

// mayLog reports whether a change of a pool may be logged now.
func (m *Monitor) mayLog(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	path, now := m.paths[pool], m.opts.Now()
	if path == nil || now.Sub(path.loggedAt) < logInterval {
		return false
	}
	path.loggedAt = now
	return true
}

// IsLost reports whether this daemon reaches no upstream of a pool.
func (m *Monitor) IsLost(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := m.paths[pool]
	return path != nil && path.isLost
}

// WasLostSince reports whether this daemon reached no upstream of a pool at any time since at.
func (m *Monitor) WasLostSince(pool string, at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := m.paths[pool]
	return path != nil && (path.isLost || path.lostUntil.After(at))
}

// Lost returns the pools of which this daemon reaches no upstream, and whether these are all
// pools with upstreams.
func (m *Monitor) Lost() (pools []string, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all = true
	for pool := range m.upstreams {
		if m.paths[pool].isLost {
			pools = append(pools, pool)
		} else {
			all = false
		}
	}
	return pools, all && len(pools) > 0
}
