package upstreampath

import (
	"context"
	"sync"
)

// tick probes the pools for which that is due, all at the same time.
func (m *Monitor) tick(ctx context.Context) {
	var probes sync.WaitGroup
	for _, address := range m.dueProbes() {
		probes.Go(func() {
			err := m.opts.Probe(ctx, address)
			if ctx.Err() == nil {
				m.RecordConnect(address, err)
			}
		})
	}
	probes.Wait()
}

// dueProbes returns the addresses to probe now: one of each pool whose path is lost, and one,
// or after a failure some, of each pool that is silent, or of which nothing was heard since
// another path was lost.
func (m *Monitor) dueProbes() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	isAnyLost := false
	for pool := range m.upstreams {
		isAnyLost = isAnyLost || m.paths[pool].isLost
	}
	var due []string
	for pool, addresses := range m.upstreams {
		path := m.paths[pool]
		count := 0
		switch {
		case path.isLost:
			if now.Sub(path.probedAt) >= probeInterval {
				count = 1
			}
		case path.isSilent(now), isAnyLost && now.Sub(path.heardAt) >= silenceTime:
			count = 1
			if path.failures(now) > 0 {
				count = min(enoughFailures-1, len(addresses))
			}
		}
		if count > 0 {
			path.probedAt = now
		}
		for range count {
			due = append(due, addresses[path.nextProbe%len(addresses)])
			path.nextProbe++
		}
	}
	return due
}
