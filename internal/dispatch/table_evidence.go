package dispatch

import (
	"time"

	"rattantide/internal/membership"
)

// TableEvidence passes on to the membership table what attempts showed of an
// upstream.
type TableEvidence struct {
	Table *membership.Table
}

// Observe implements Evidence.
func (e TableEvidence) Observe(upstream string, seen Seen, _ time.Time) {
	switch {
	case seen.Draining:
		e.Table.Observe(upstream, membership.EvidenceDraining)
	case seen.Lost:
		e.Table.Observe(upstream, membership.EvidenceCrash)
	case seen.OK:
		e.Table.Observe(upstream, membership.EvidenceOK)
	}
}
