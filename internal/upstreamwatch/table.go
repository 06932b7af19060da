package upstreamwatch

import "rattantide/internal/membership"

// Table is what this package needs of the membership table.
type Table interface {
	Pools() []string
	// Upstreams returns the usable upstreams of a pool that this daemon works
	// with.
	Upstreams(pool string) []membership.Upstream
	SetLoad(upstream string, load membership.Load)
	Observe(upstream string, evidence membership.Evidence)
}

var _ Table = (*membership.Table)(nil)
