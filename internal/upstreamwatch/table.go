package upstreamwatch

import "rattantide/internal/membership"

// Table is the subset of the membership table's methods that a Watcher uses.
type Table interface {
	Pools() []string
	// Upstreams returns the upstreams of a pool that this daemon sends new work to.
	Upstreams(pool string) []membership.Upstream
	SetLoad(upstream string, load membership.Load)
	Observe(upstream string, evidence membership.Evidence)
}

var _ Table = (*membership.Table)(nil)
