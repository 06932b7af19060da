package dispatch

import (
	"time"

	"rattantide/internal/membership"
)

// TableEvidenceRecorder implements EvidenceRecorder. It records the evidence in a
// membership table.
type TableEvidenceRecorder struct {
	Table *membership.Table
}

// Observe implements EvidenceRecorder.
func (e TableEvidenceRecorder) Observe(upstream string, evidence UpstreamEvidence, _ time.Time) {
	switch {
	case evidence.Backoff > 0:
		if u, isKnown := e.Table.Upstream(upstream); isKnown {
			e.Table.RecordBackoff(u, evidence.Backoff)
		}
	case evidence.Draining:
		e.Table.Observe(upstream, membership.EvidenceDraining)
	case evidence.Lost:
		e.Table.Observe(upstream, membership.EvidenceCrash)
	case evidence.Answered:
		e.Table.Observe(upstream, membership.EvidenceOK)
	}
}
