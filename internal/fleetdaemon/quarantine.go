package fleetdaemon

import (
	"slices"
	"strconv"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/quarantine"
)

// buildQuarantine builds the component that keeps requests that crash upstreams from them.
func (d *Daemon) buildQuarantine() {
	d.quarantine = quarantine.New(quarantine.Options{
		IsLeaving: d.isLeavingUpstream, IsProber: d.isProber, OnNews: d.announceNews,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
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

// encodeEvidence returns the evidence for a report, or nil if there is none.
func (d *Daemon) encodeEvidence() []byte {
	evidence := d.quarantine.Evidence()
	if evidence.IsEmpty() {
		return nil
	}
	return d.encodePart("quarantine", evidence)
}
