package fleetdaemon

import (
	"context"
	"slices"
	"strconv"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/quarantine"
)

const (
	// spreadFanout is the number of daemons that new evidence is sent to at once; each of
	// them passes on what is new to it.
	spreadFanout = 8
	// spreadInterval is the minimum time between two sendings of new evidence.
	spreadInterval = 100 * time.Millisecond
)

// buildQuarantine builds the component that keeps requests that crash upstreams from them.
func (d *Daemon) buildQuarantine() {
	d.evidenceNews = make(chan struct{}, 1)
	d.quarantine = quarantine.New(quarantine.Options{
		IsLeaving: d.isLeavingUpstream, IsProber: d.isProber, OnNews: d.announceEvidence,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
}

// isLeavingUpstream reports whether an upstream is known to be leaving or gone.
func (d *Daemon) isLeavingUpstream(name string) bool {
	u, isKnown := d.table.Upstream(name)
	return !isKnown || u.Leaving
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

// announceEvidence makes spreadEvidence send this daemon's evidence soon.
func (d *Daemon) announceEvidence() {
	select {
	case d.evidenceNews <- struct{}{}:
	default:
	}
}

// spreadEvidence sends new evidence to other daemons until ctx ends, and returns nil.
func (d *Daemon) spreadEvidence(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.evidenceNews:
			d.peers.Spread(spreadFanout)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(spreadInterval):
		}
	}
}

// encodeEvidence returns the evidence for a report, or nil if there is none.
func (d *Daemon) encodeEvidence() []byte {
	evidence := d.quarantine.Evidence()
	if evidence.IsEmpty() {
		return nil
	}
	return d.encodePart("quarantine", evidence)
}

// applyEvidence adds the evidence in the report of another daemon, which was created at
// about the time at.
func (d *Daemon) applyEvidence(r peering.Report, at time.Time) {
	var evidence quarantine.Evidence
	if d.decodePart(r, "quarantine", r.Quarantine, &evidence) {
		d.quarantine.Merge(&evidence, at)
	}
}
