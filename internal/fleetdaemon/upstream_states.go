package fleetdaemon

import (
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// upstreamStates implements gateway.UpstreamStates. The membership table holds the states.
type upstreamStates struct{ d *Daemon }

// RecordLeaving implements gateway.UpstreamStates.
func (s upstreamStates) RecordLeaving(u membership.Upstream) {
	s.d.recordLeaving(membership.LeavingUpstream{Name: u.Name, Address: u.Address, Generation: u.Generation}, "its answer")
}

// RecordBackoff implements gateway.UpstreamStates.
func (s upstreamStates) RecordBackoff(u membership.Upstream, d time.Duration) {
	s.d.logger.Info("upstream asks for a backoff", "upstream", u.Name, "ms", d.Milliseconds())
	s.d.table.RecordBackoff(u, d)
}

// IsUsable implements gateway.UpstreamStates.
func (s upstreamStates) IsUsable(u membership.Upstream) bool { return s.d.table.IsUsable(u) }

// recordLeaving records that an upstream has said that it is leaving. If that is new, the
// other daemons are told at once. source names the origin in the log line.
func (d *Daemon) recordLeaving(u membership.LeavingUpstream, source string) {
	if !d.table.RecordLeaving(u) {
		return
	}
	d.logger.Info("upstream says that it is leaving", "upstream", u.Name, "generation", u.Generation, "from", source)
	d.announceNews()
}

// applyLeaving records the upstreams that have said to another daemon that they are leaving.
func (d *Daemon) applyLeaving(r peering.Report) {
	var leaving []membership.LeavingUpstream
	if !d.decodePart(r, "leaving", r.LeavingUpstreams, &leaving) {
		return
	}
	for _, u := range leaving {
		if u.Name != "" {
			d.recordLeaving(u, "daemon "+r.Name)
		}
	}
}
