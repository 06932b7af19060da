package fleetdaemon

import (
	"maps"
	"slices"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/fleetsync"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// relayCount is the number of daemons that read the store directly. The other daemons
// receive its contents from these relays, so that the number of calls of the store
// does not grow with the number of daemons.
const relayCount = 3

// settleTime is the time after the registration of a daemon in which it learns of the
// other daemons. Until then it would consider itself preferred to all of them.
const settleTime = time.Second

// chooseRelays chooses the relays among the daemons that can reach the store, as far
// as this daemon knows. The choices of two daemons may differ for a moment; more
// daemons than relayCount then read the store.
func (d *Daemon) chooseRelays(peers []peering.Peer) {
	cores := map[string]float64{}
	if !d.config.IsStoreFailing() {
		cores[d.settings.Name] = d.settings.Cores
	}
	for _, p := range peers {
		if p.IsAvailable() && !p.StoreUnavailable {
			cores[p.Name] = p.Cores
		}
	}
	if len(cores) == 0 {
		// No daemon reaches the store; the current relays continue to retry.
		return
	}
	if len(peers) == 0 && d.peers.PeerCount() > 0 && !d.isSettled() {
		return
	}
	chosen := preferredByCores("relay", cores, relayCount)
	d.relayNames.Store(&chosen)
}

// servingCores returns the cores of the daemons that serve, including this one if it is ready.
func (d *Daemon) servingCores(peers []peering.Peer) map[string]float64 {
	cores := map[string]float64{}
	if d.ready() {
		cores[d.settings.Name] = d.settings.Cores
	}
	for _, p := range peers {
		if p.Serves() {
			cores[p.Name] = p.Cores
		}
	}
	return cores
}

// preferredByCores returns the names of at most count daemons, those with the most cores
// first, as the others send many requests to them. Ties are broken by rendezvous hashing,
// so that all daemons choose the same.
func preferredByCores(key string, cores map[string]float64, count int) []string {
	largest := map[float64][]string{}
	for name, n := range cores {
		largest[n] = append(largest[n], name)
	}
	var preferred []string
	for _, n := range slices.Backward(slices.Sorted(maps.Keys(largest))) {
		if len(preferred) >= count {
			break
		}
		preferred = append(preferred, membership.TopByWeight(key, largest[n], count-len(preferred))...)
	}
	return preferred
}

// isSettled reports whether this daemon has had time to learn of the other daemons since
// it started.
func (d *Daemon) isSettled() bool {
	registeredAt := d.registeredAt.Load()
	return registeredAt != nil && bootclock.Now().Sub(*registeredAt) >= settleTime
}

// relayRank returns the position of a daemon among the relays, or fleetsync.NotReader. No
// daemon is a relay until relays are chosen.
func (d *Daemon) relayRank(name string) int {
	chosen := d.relayNames.Load()
	if chosen == nil {
		return fleetsync.NotReader
	}
	// The index of a name that is absent equals NotReader.
	return slices.Index(*chosen, name)
}

// isRelay reports whether a daemon reads the store directly.
func (d *Daemon) isRelay(name string) bool { return d.relayRank(name) != fleetsync.NotReader }

// readerRank returns this daemon's position among the relays.
func (d *Daemon) readerRank() int { return d.relayRank(d.settings.Name) }

// readsStore reports whether this daemon reads the store directly.
func (d *Daemon) readsStore() bool { return d.readerRank() != fleetsync.NotReader }

// isCriticalPeer reports whether serving requests depends on a daemon: it is a relay that
// usually reads the store, or holds a quota pool.
func (d *Daemon) isCriticalPeer(name string) bool {
	rank := d.relayRank(name)
	return rank == 0 || rank == 1 || slices.Contains(d.quotaPoolHolders(), name)
}
