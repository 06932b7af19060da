package fleetdaemon

import (
	"rattantide/internal/peering"
	"rattantide/internal/versionmove"
)

// regularlyKnownDaemons is the number of other daemons up to which regular requests reach
// each of them about once a second.
const regularlyKnownDaemons = 16

// applyMoveChange applies a change of a version move, and makes this daemon tell of it.
func (d *Daemon) applyMoveChange() {
	d.view.invalidate()
	d.announceNews()
}

// collectTallies requests the tallies of all daemons if regular requests would take long.
func (d *Daemon) collectTallies() {
	if d.peers.PeerCount() > regularlyKnownDaemons {
		d.peers.Collect(true)
	}
}

// exposureLimits returns the limits on the requests to a bad version of a move.
func (d *Daemon) exposureLimits() versionmove.ExposureLimits {
	b := d.bounds.Load()
	return versionmove.ExposureLimits{Share: b.CanaryShare, Slack: b.CanarySlack}
}

// processName returns the name of this daemon's process in the ledgers.
func (d *Daemon) processName() string {
	self := peering.Report{Name: d.settings.Name, Process: d.process}
	return self.ProcessName()
}

// liveProcesses returns the names of the processes of this daemon and of the live others.
func (d *Daemon) liveProcesses() []string {
	processes := []string{d.processName()}
	for _, p := range d.peers.Peers() {
		if p.Alive {
			processes = append(processes, p.ProcessName())
		}
	}
	return processes
}
