package fleetdaemon

import (
	"encoding/json"

	"rattantide/internal/autoscale"
	"rattantide/internal/peering"
	"rattantide/internal/usage"
	"rattantide/internal/versionmove"
)

// encodePart encodes a part of a report whose format only the receiving component
// knows. It logs an error and returns nil if the value cannot be encoded.
func (d *Daemon) encodePart(part string, value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		d.logger.Error("cannot encode part of a report", "part", part, "error", err)
		return nil
	}
	return text
}

// decodePart decodes a part of another daemon's report into value. It reports whether
// the part is present and valid; an invalid part is counted and logged.
func (d *Daemon) decodePart(r peering.Report, part string, text json.RawMessage, value any) bool {
	if len(text) == 0 {
		return false
	}
	if err := json.Unmarshal(text, value); err != nil {
		d.scope.Counter("peer_bad_messages").Inc(1)
		d.logger.Warn("cannot decode part of a daemon's report", "part", part, "daemon", r.Name, "error", err)
		return false
	}
	return true
}

// applyMoves applies the version moves that another daemon knows.
func (d *Daemon) applyMoves(r peering.Report) {
	var moves map[string]versionmove.RevisionedState
	if d.decodePart(r, "moves", r.MoveStates, &moves) {
		d.follower.Merge(moves, d.isRelay(r.Name) && !r.StoreUnavailable)
	}
}

// applyFinalCounts stores the final counts of usage windows that another daemon knows.
func (d *Daemon) applyFinalCounts(r peering.Report) {
	var finals map[int64]usage.FinalCounts
	if d.decodePart(r, "finals", r.FinalCounts, &finals) {
		d.finals.Merge(finals)
	}
}

// applyVersionTallies stores another daemon's tallies of requests by version.
func (d *Daemon) applyVersionTallies(r peering.Report) {
	var tallies map[string]versionmove.Tally
	if d.decodePart(r, "versions", r.VersionTallies, &tallies) {
		d.versionLedger.Set(r.ProcessName(), tallies)
	}
}

// applyLatencies stores another daemon's latency histograms by service.
func (d *Daemon) applyLatencies(r peering.Report) {
	var services map[string]*autoscale.Histogram
	if d.decodePart(r, "lateness", r.LatencyHistograms, &services) {
		d.latencies.setPeer(r.Name, services)
	}
}
