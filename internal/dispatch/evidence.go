package dispatch

import "time"

// EvidenceRecorder receives what the results of attempts show about the health
// of upstreams, for the membership table.
type EvidenceRecorder interface {
	// Observe records the end of an attempt at an upstream. It is not called
	// for attempts whose result shows nothing about the upstream.
	Observe(upstream string, evidence UpstreamEvidence, now time.Time)
}
