package upstreamwatch

import "rattantide/internal/membership"

// Table is the subset of the membership table's methods that a Watcher uses.
type Table interface {
	// Pools returns the names of all pools. The slice must not be modified.
	Pools() []string
	// Upstreams returns the upstreams of a pool that this daemon sends new work to.
	Upstreams(pool string) []membership.Upstream
	// SetLoad stores the load report of an upstream.
	SetLoad(upstream string, load membership.Load)
	// Observe records what a failed poll shows about an upstream.
	Observe(upstream string, evidence membership.Evidence)
}

var _ Table = (*membership.Table)(nil)
