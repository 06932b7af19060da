package fleetdaemon

import (
	"encoding/json"

	"rattantide/internal/peering"
	"rattantide/internal/versionmove"
)

// encodeVersions returns what this daemon saw of versions, for the holder of the
// duties.
func (d *Daemon) encodeVersions() json.RawMessage {
	text, err := json.Marshal(d.versions.Tallies())
	if err != nil {
		d.logger.Error("tallies of versions could not be written", "error", err)
		return nil
	}
	return text
}

// takeVersions takes over what another daemon saw of versions.
func (d *Daemon) takeVersions(r peering.Report) {
	if len(r.Versions) == 0 {
		return
	}
	var tallies map[string]versionmove.Tally
	if err := json.Unmarshal(r.Versions, &tallies); err != nil {
		d.scope.Counter("peer_bad_messages").Inc(1)
		d.logger.Warn("tallies of a daemon are not readable", "daemon", r.Name, "error", err)
		return
	}
	d.versionLedger.Set(r.Name+"/"+r.Process, tallies)
}
