package lease

import (
	"context"
	"slices"
	"sync"

	"rattantide/internal/membership"
)

// maxOfferRank bounds the daemons that look at a lease that was given up, by their
// rank of preference.
const maxOfferRank = 4

// Manager seeks and keeps the leases of the duties that this daemon wants. It
// is safe for concurrent use.
type Manager struct {
	options Options

	mu     sync.Mutex
	ctx    context.Context
	duties map[string]*duty
	// running counts the goroutines of duties, dropped ones too.
	running sync.WaitGroup
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(options Options) *Manager {
	options.setDefaults()
	return &Manager{options: options, duties: map[string]*duty{}}
}

// Run keeps the leases until ctx ends, and then releases them. It must be called
// once.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, d := range m.duties {
		m.launch(d)
	}
	m.mu.Unlock()
	<-ctx.Done()
	// A launch that saw ctx alive has finished once the lock is free.
	m.mu.Lock()
	m.mu.Unlock() //nolint:staticcheck // the empty section is a barrier
	m.running.Wait()
	return nil
}

// Want makes the Manager seek the lease of a duty. Repeating it is harmless.
func (m *Manager) Want(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duties[name] != nil {
		return
	}
	d := &duty{manager: m, name: name, kick: make(chan struct{}, 1)}
	m.duties[name] = d
	if m.ctx != nil {
		m.launch(d)
	}
}

// Drop ends the interest in a duty and releases its lease.
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

// Held returns the fencing token of a duty, and whether this daemon may act as
// its holder. The answer holds for the moment only, so it is to be asked before
// each action; a holder that was paused sees false on waking.
func (m *Manager) Held(name string) (fence int64, ok bool) {
	d := m.duty(name)
	if d == nil {
		return 0, false
	}
	return d.held(m.options.Now())
}

// Yielded returns the fencing token of a lease that this daemon has given up while
// it could not write that to the store, or 0. The daemon no longer acts under it.
func (m *Manager) Yielded(name string) int64 {
	d := m.duty(name)
	if d == nil {
		return 0
	}
	return d.yieldedFence()
}

// Offer tells that the holder with a fencing token has given its lease up.
func (m *Manager) Offer(name string, fence int64) {
	if d := m.duty(name); d != nil && m.Rank(name) <= maxOfferRank {
		d.offer(fence)
	}
}

// duty returns a duty that this daemon wants, or nil.
func (m *Manager) duty(name string) *duty {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duties[name]
}

// launch starts the goroutine of a duty. The lock is held.
func (m *Manager) launch(d *duty) {
	if m.ctx.Err() != nil {
		return
	}
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(m.ctx)
	m.running.Go(func() { d.run(ctx) })
}

func (m *Manager) leaving() bool {
	return m.options.Table != nil && m.options.Table.Self().Leaving
}

// Rank returns the number of live daemons that are preferred to this one for a
// duty.
func (m *Manager) Rank(name string) int {
	if m.options.Table == nil {
		return 0
	}
	names := []string{m.options.Holder}
	for _, d := range m.options.Table.Daemons() {
		names = append(names, d.Name)
	}
	return slices.Index(membership.Preferred(objectKind+"/"+name, names), m.options.Holder)
}
