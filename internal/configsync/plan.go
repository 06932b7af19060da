package configsync

import (
	"sort"

	"rattantide/internal/membership"
)

// plan is what a daemon does at the moment.
type plan struct {
	relay bool
	// targets are the daemons to poll, by address.
	targets map[string]bool
}

// plan derives the role and the daemons to poll from the Table and from which
// daemons did not answer lately.
func (s *Syncer) plan() plan {
	self := s.options.Table.Self()
	others := s.options.Table.Daemons()
	all := append(make([]membership.Daemon, 0, len(others)+1), others...)
	if !self.Leaving {
		all = append(all, self)
	}
	suspects := s.suspects.names()
	var reachable []membership.Daemon
	for _, d := range all {
		if !suspects[d.Address] {
			reachable = append(reachable, d)
		}
	}
	p := plan{targets: map[string]bool{}}
	add := func(daemons []membership.Daemon) {
		for _, d := range daemons {
			if d.Name == self.Name {
				p.relay = true
			} else {
				p.targets[d.Address] = true
			}
		}
	}
	add(rankRelays(self.Region, reachable, s.options.Relays))
	relay := p.relay
	// Preferred relays that did not answer are tried further.
	add(rankRelays(self.Region, all, s.options.Relays))
	p.relay = relay || len(others) == 0
	if p.relay {
		for _, region := range regions(all) {
			if region != self.Region {
				add(rankRelays(region, reachable, 1))
				add(rankRelays(region, all, 1))
			}
		}
	}
	if len(p.targets) == 0 || len(reachable) <= 1 {
		for _, address := range s.options.PeerAddresses {
			if address != self.Address {
				p.targets[address] = true
			}
		}
	}
	return p
}

func regions(daemons []membership.Daemon) []string {
	seen := map[string]bool{}
	var out []string
	for _, d := range daemons {
		if !seen[d.Region] {
			seen[d.Region] = true
			out = append(out, d.Region)
		}
	}
	sort.Strings(out)
	return out
}
