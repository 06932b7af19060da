package dispatch

import "rattantide/internal/membership"

// Table is what this package needs of the membership table.
type Table interface {
	// Upstreams returns the usable upstreams of a pool, without those that are
	// leaving.
	Upstreams(pool string) []membership.Upstream
	// Upstream returns an upstream by name, also one that is leaving.
	Upstream(name string) (membership.Upstream, bool)
}
