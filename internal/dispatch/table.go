package dispatch

import "rattantide/internal/membership"

// Table is the part of the membership table that this package uses.
type Table interface {
	// Upstreams returns the usable upstreams of a pool, excluding those that
	// are leaving.
	Upstreams(pool string) []membership.Upstream
	// AreAllLeaving reports whether a pool has known upstreams and all of them are leaving.
	AreAllLeaving(pool string) bool
	// Upstream returns an upstream by name, including one that is leaving.
	Upstream(name string) (membership.Upstream, bool)
}
