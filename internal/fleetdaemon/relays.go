package fleetdaemon

import (
	"slices"

	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// relayCount is the number of daemons that read the store directly. The other daemons
// receive its contents from these relays, so that the number of calls of the store
// does not grow with the number of daemons.
const relayCount = 3

// chooseRelays chooses the relays among the daemons that can reach the store, as far
// as this daemon knows. The choices of two daemons may differ for a moment; more
// daemons than relayCount then read the store.
func (d *Daemon) chooseRelays(peers []peering.Peer) {
	var names []string
	if !d.config.IsStoreFailing() {
		names = append(names, d.settings.Name)
	}
	for _, p := range peers {
		if p.IsAvailable() && !p.StoreUnavailable {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		// No daemon reaches the store; the current relays continue to retry.
		return
	}
	preferred := membership.RankByWeight("relay", names)
	chosen := preferred[:min(relayCount, len(preferred))]
	d.relayNames.Store(&chosen)
}

// isRelay reports whether a daemon reads the store directly. Every daemon does until
// relays are chosen.
func (d *Daemon) isRelay(name string) bool {
	chosen := d.relayNames.Load()
	return chosen == nil || slices.Contains(*chosen, name)
}

// readsStore reports whether this daemon reads the store directly.
func (d *Daemon) readsStore() bool { return d.isRelay(d.settings.Name) }

// isCriticalPeer reports whether serving requests depends on a daemon: it is a relay
// or holds a quota pool.
func (d *Daemon) isCriticalPeer(name string) bool {
	return d.isRelay(name) || slices.Contains(d.quotaPoolHolders(), name)
}
