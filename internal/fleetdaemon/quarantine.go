package fleetdaemon

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/quarantine"
)

// buildQuarantines builds the components that keep requests that crash upstreams from them.
func (d *Daemon) buildQuarantines() {
	build := func(policy quarantine.Policy) *quarantine.Tracker {
		return quarantine.New(quarantine.Options{
			Policy: policy, IsLeaving: d.isLeavingUpstream, IsProber: d.isProber, OnNews: d.announceNews,
			Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
		})
	}
	d.promptQuarantine, d.requestQuarantine = build(quarantine.PromptParts), build(quarantine.WholeRequests)
}

// isLeavingUpstream reports whether an upstream is known to be leaving or gone, or its failure
// domain to be evacuated.
func (d *Daemon) isLeavingUpstream(name string) bool {
	u, isKnown := d.table.Upstream(name)
	return !isKnown || u.Leaving || d.isEvacuated(u.Domain)
}

// isProber reports whether this daemon tries a part whose verdict has expired on behalf of the
// fleet.
func (d *Daemon) isProber(part uint64) bool {
	names := []string{d.settings.Name}
	for _, p := range d.peers.Peers() {
		if p.Serves() {
			names = append(names, p.Name)
		}
	}
	return slices.Contains(membership.TopByWeight("quarantine/"+strconv.FormatUint(part, 16), names, 1), d.settings.Name)
}

// encodeEvidence returns the evidence of a quarantine for a report, or nil if there is none.
func (d *Daemon) encodeEvidence(t *quarantine.Tracker) []byte {
	evidence := t.Evidence()
	if evidence.IsEmpty() {
		return nil
	}
	return d.encodePart("quarantine", evidence)
}

// applyEvidence adds the evidence of another daemon's quarantine, which was encoded at about
// the time at.
func (d *Daemon) applyEvidence(t *quarantine.Tracker, r peering.Report, text json.RawMessage, at time.Time) {
	var evidence quarantine.Evidence
	if d.decodePart(r, "quarantine", text, &evidence) {
		t.Merge(&evidence, at)
	}
}
