package daemon

import (
	"time"

	"rattantide/internal/dispatch"
	"rattantide/internal/membership"
)

// evidence passes on what attempts showed of an upstream.
type evidence struct {
	table *membership.Table
}

// Observe implements dispatch.Evidence.
func (e evidence) Observe(upstream string, seen dispatch.Seen, _ time.Time) {
	switch {
	case seen.Draining:
		e.table.Observe(upstream, membership.EvidenceDraining)
	case seen.Lost:
		e.table.Observe(upstream, membership.EvidenceCrash)
	case seen.OK:
		e.table.Observe(upstream, membership.EvidenceOK)
	}
}
