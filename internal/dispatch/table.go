package dispatch

import "rattantide/internal/membership"

// Table is the part of the membership table that this package uses.
type Table interface {
	// Upstreams returns the usable upstreams of a pool, excluding those that
	// are leaving.
	Upstreams(pool string) []membership.Upstream
	// Outlook returns when a pool without usable upstreams may have one again.
	Outlook(pool string) membership.Outlook
	// Upstream returns an upstream by name, including one that is leaving.
	Upstream(name string) (membership.Upstream, bool)
}
