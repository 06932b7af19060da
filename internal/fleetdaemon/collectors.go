package fleetdaemon

import (
	"slices"

	"rattantide/internal/peering"
	"rattantide/internal/upstreamstate"
)

// collectorCount is the number of daemons that collect and distribute the state of upstreams
// and the load of the fleet. With two, the loss of one leaves no gap.
const collectorCount = 2

// chooseCollectors chooses the collectors: the ready daemons with the most cores, as all
// others send to them several times a second.
func (d *Daemon) chooseCollectors(peers []peering.Peer) {
	cores := d.servingCores(peers)
	fleet := upstreamstate.Fleet{Self: d.settings.Name, Collectors: preferredByCores("collector", cores, collectorCount)}
	for _, p := range peers {
		if p.IsAvailable() {
			fleet.Daemons = append(fleet.Daemons, p.Name)
		}
	}
	fleet.Daemons = append(fleet.Daemons, d.settings.Name)
	slices.Sort(fleet.Daemons)
	d.fleet.Store(&fleet)
	others := make([]string, 0, len(peers))
	for _, p := range peers {
		if p.Serves() {
			others = append(others, p.Name)
		}
	}
	d.servingPeers.Store(&others)
}

// collectors returns the names of the collectors, which may include this daemon's.
func (d *Daemon) collectors() []string {
	if fleet := d.fleet.Load(); fleet != nil {
		return fleet.Collectors
	}
	return nil
}

// isCollector reports whether this daemon is one of the collectors.
func (d *Daemon) isCollector() bool { return slices.Contains(d.collectors(), d.settings.Name) }
