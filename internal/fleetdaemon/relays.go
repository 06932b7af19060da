package fleetdaemon

import (
	"slices"

	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// relays is how many daemons read the store on their own. The others hear from
// them, so that the calls of the store do not grow with the number of daemons.
const relays = 3

// chooseRelays chooses the daemons that read the store, by the view of this one,
// among those that it answers. Two views may differ for a moment; more daemons than
// needed then read it.
func (d *Daemon) chooseRelays(peers []peering.Peer) {
	var names []string
	if !d.config.Failing() {
		names = append(names, d.settings.Name)
	}
	for _, p := range peers {
		if p.Stays() && !p.StoreAway {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		// The store answers nobody; those that read it go on trying.
		return
	}
	preferred := membership.Preferred("relay", names)
	chosen := preferred[:min(relays, len(preferred))]
	d.relayNames.Store(&chosen)
}

// isRelay reports whether a daemon reads the store on its own.
func (d *Daemon) isRelay(name string) bool {
	chosen := d.relayNames.Load()
	return chosen == nil || slices.Contains(*chosen, name)
}

// direct reports whether this daemon reads the store on its own.
func (d *Daemon) direct() bool { return d.isRelay(d.settings.Name) }

// important reports whether requests depend on the answers of a daemon.
func (d *Daemon) important(name string) bool {
	return d.isRelay(name) || slices.Contains(d.poolHolders(), name)
}
