package routing

import "sync"

// PromptMixes holds one PromptMix per pool. The zero value is ready to use. It is safe for
// concurrent use.
type PromptMixes struct {
	// Daemons returns the number of daemons that share the pools; nil stands for one.
	Daemons func() int

	mu    sync.Mutex
	pools map[string]*PromptMix
}

// Pool returns the mix of a pool, which it creates if necessary.
func (m *PromptMixes) Pool(name string) *PromptMix {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = map[string]*PromptMix{}
	}
	mix := m.pools[name]
	if mix == nil {
		mix = &PromptMix{Daemons: m.Daemons}
		m.pools[name] = mix
	}
	return mix
}

// Lookup returns the mix of a pool, or nil if there is none.
func (m *PromptMixes) Lookup(name string) *PromptMix {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[name]
}
