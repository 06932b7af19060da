package fleetdaemon

import (
	"encoding/json"

	"rattantide/internal/autoscale"
	"rattantide/internal/peering"
	"rattantide/internal/versionmove"
)

// encoded returns a part of a report that only its owner reads.
func (d *Daemon) encoded(part string, value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		d.logger.Error("part of a report could not be written", "part", part, "error", err)
		return nil
	}
	return text
}

// decoded reads such a part of another daemon's report, and reports whether there is
// one.
func (d *Daemon) decoded(r peering.Report, part string, text json.RawMessage, value any) bool {
	if len(text) == 0 {
		return false
	}
	if err := json.Unmarshal(text, value); err != nil {
		d.scope.Counter("peer_bad_messages").Inc(1)
		d.logger.Warn("part of a daemon's report is not readable", "part", part, "daemon", r.Name, "error", err)
		return false
	}
	return true
}

// takeMoves takes over what another daemon read of version moves.
func (d *Daemon) takeMoves(r peering.Report) {
	var moves map[string]versionmove.Told
	if d.decoded(r, "moves", r.Moves, &moves) {
		d.follower.Heard(moves)
	}
}

// takeVersions takes over what another daemon saw of versions.
func (d *Daemon) takeVersions(r peering.Report) {
	var tallies map[string]versionmove.Tally
	if d.decoded(r, "versions", r.Versions, &tallies) {
		d.versionLedger.Set(r.ProcessName(), tallies)
	}
}

// takeLateness takes over how another daemon's requests were answered.
func (d *Daemon) takeLateness(r peering.Report) {
	var services map[string]*autoscale.Histogram
	if d.decoded(r, "lateness", r.Lateness, &services) {
		d.lateness.heard(r.Name, services)
	}
}
