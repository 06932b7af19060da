package configsync

import (
	"sort"

	"rattantide/internal/membership"
)

// plan is a daemon's current role and the daemons to poll.
type plan struct {
	isRelay bool
	// pollTargets is the set of addresses of the daemons to poll.
	pollTargets map[string]bool
}

// plan derives the role and the daemons to poll from the Table and from the daemons
// whose latest poll failed.
func (s *Syncer) plan() plan {
	self := s.options.Table.Self()
	peers := s.options.Table.Daemons()
	all := append(make([]membership.Daemon, 0, len(peers)+1), peers...)
	if !self.Leaving {
		all = append(all, self)
	}
	suspects := s.suspects.snapshot()
	var reachable []membership.Daemon
	for _, d := range all {
		if !suspects[d.Address] {
			reachable = append(reachable, d)
		}
	}
	p := plan{pollTargets: map[string]bool{}}
	add := func(daemons []membership.Daemon) {
		for _, d := range daemons {
			if d.Name == self.Name {
				p.isRelay = true
			} else {
				p.pollTargets[d.Address] = true
			}
		}
	}
	add(rankRelays(self.Region, reachable, s.options.RelaysPerRegion))
	isRelay := p.isRelay
	// Preferred relays whose latest poll failed are still polled, in addition to
	// their substitutes, but do not count for this daemon's role.
	add(rankRelays(self.Region, all, s.options.RelaysPerRegion))
	p.isRelay = isRelay || len(peers) == 0
	if p.isRelay {
		for _, region := range regions(all) {
			if region != self.Region {
				add(rankRelays(region, reachable, 1))
				add(rankRelays(region, all, 1))
			}
		}
	}
	if len(p.pollTargets) == 0 || len(reachable) <= 1 {
		for _, address := range s.options.PeerAddresses {
			if address != self.Address {
				p.pollTargets[address] = true
			}
		}
	}
	return p
}

// regions returns the sorted names of the daemons' regions.
func regions(daemons []membership.Daemon) []string {
	added := map[string]bool{}
	var out []string
	for _, d := range daemons {
		if !added[d.Region] {
			added[d.Region] = true
			out = append(out, d.Region)
		}
	}
	sort.Strings(out)
	return out
}
