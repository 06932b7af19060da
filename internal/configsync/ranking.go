package configsync

import (
	"sort"

	"rattantide/internal/membership"
)

// rankRelays returns up to count preferred relays of a region: the daemons with the
// highest rendezvous weight for the region, in different failure domains if
// possible, so that a relay remains after the loss of one domain.
func rankRelays(region string, daemons []membership.Daemon, count int) []membership.Daemon {
	var local []membership.Daemon
	for _, d := range daemons {
		if d.Region == region {
			local = append(local, d)
		}
	}
	key := "relay/" + region
	sort.Slice(local, func(i, j int) bool {
		a, b := membership.Weight(key, local[i].Name), membership.Weight(key, local[j].Name)
		if a != b {
			return a > b
		}
		return local[i].Name < local[j].Name
	})
	var chosen, remaining []membership.Daemon
	domains := map[string]bool{}
	for _, d := range local {
		if len(chosen) < count && !domains[d.Domain] {
			domains[d.Domain] = true
			chosen = append(chosen, d)
			continue
		}
		remaining = append(remaining, d)
	}
	for _, d := range remaining {
		if len(chosen) == count {
			break
		}
		chosen = append(chosen, d)
	}
	return chosen
}
