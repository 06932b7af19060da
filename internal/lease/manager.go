package lease

import (
	"context"
	"sync"

	"rattantide/internal/membership"
)

// maxTakeoverRank is the largest result of Manager.Rank at which a daemon tries to
// take over a lease that its holder has yielded. It bounds the number of calls.
const maxTakeoverRank = 4

// Manager acquires and renews the leases of the duties that this daemon wants. It
// is safe for concurrent use.
type Manager struct {
	options Options

	mu     sync.Mutex
	ctx    context.Context
	duties map[string]*duty
	// running counts the goroutines of duties, including those of dropped ones.
	running sync.WaitGroup
}

// NewManager returns a Manager that is idle until Run is called.
func NewManager(options Options) *Manager {
	options.setDefaults()
	return &Manager{options: options, duties: map[string]*duty{}}
}

// Run maintains the leases until ctx ends, and then releases them. It must be
// called at most once.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, d := range m.duties {
		m.launch(d)
	}
	m.mu.Unlock()
	<-ctx.Done()
	// A launch that began before ctx ended has finished once the lock is free.
	m.mu.Lock()
	m.mu.Unlock() //nolint:staticcheck // the empty section is a barrier
	m.running.Wait()
	return nil
}

// Want makes the Manager acquire and renew the lease of a duty. It has no effect
// if the duty is already wanted.
func (m *Manager) Want(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duties[name] != nil {
		return
	}
	d := &duty{manager: m, name: name, wake: make(chan struct{}, 1)}
	m.duties[name] = d
	if m.ctx != nil {
		m.launch(d)
	}
}

// Drop undoes Want: it stops maintaining the lease of a duty and releases it.
func (m *Manager) Drop(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties[name]
	if d == nil {
		return
	}
	delete(m.duties, name)
	if d.cancel != nil {
		d.cancel()
	}
}

// Held returns the fencing token of a duty; ok is true while this daemon may act
// as its holder. The result is valid only at the time of the call, so callers ask
// before each action; a holder that was suspended gets false when it resumes.
func (m *Manager) Held(name string) (fence int64, ok bool) {
	d := m.duty(name)
	if d == nil {
		return 0, false
	}
	return d.held(m.options.Now())
}

// YieldedFence returns the fencing token of the last lease that this daemon yielded
// without being able to write that to the store, or 0. The daemon no longer acts
// under this token.
func (m *Manager) YieldedFence(name string) int64 {
	d := m.duty(name)
	if d == nil {
		return 0
	}
	return d.yieldedFence()
}

// RecordYield records that another daemon has yielded the lease that it held under
// a fencing token, so that this daemon may acquire the lease before it expires. A
// token that is not newer than the last recorded one, such as 0, is ignored.
func (m *Manager) RecordYield(name string, fence int64) {
	if d := m.duty(name); d != nil && m.Rank(name) <= maxTakeoverRank {
		d.recordPeerYield(fence)
	}
}

// duty returns a duty that this daemon wants, or nil.
func (m *Manager) duty(name string) *duty {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duties[name]
}

// launch starts the goroutine of a duty. The caller holds m.mu.
func (m *Manager) launch(d *duty) {
	if m.ctx.Err() != nil {
		return
	}
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(m.ctx)
	m.running.Go(func() { d.run(ctx) })
}

// isLeaving reports whether this daemon is leaving, so that it holds no leases.
func (m *Manager) isLeaving() bool {
	return m.options.Table != nil && m.options.Table.Self().Leaving
}

// Rank returns the number of live daemons that are preferred to this one for a
// duty; 0 is the most preferred.
func (m *Manager) Rank(name string) int {
	if m.options.Table == nil {
		return 0
	}
	var names []string
	for _, d := range m.options.Table.Daemons() {
		names = append(names, d.Name)
	}
	return membership.RankOf(objectKind+"/"+name, m.options.Holder, names)
}
