package handoff

import (
	"sort"

	"rattantide/internal/entry"
	"rattantide/internal/membership"
)

// locateFanout is how many daemons are asked for a record that this daemon does
// not hold. The backup is the first daemon in the record's rendezvous order
// whose failure domain differs from the holder's, so it is among the first
// daemons of two domains; the remaining requests allow for differing views of
// the membership.
const locateFanout = 8

// rendezvousOrder returns a copy of daemons, sorted by descending rendezvous
// weight for a record.
func rendezvousOrder(id string, daemons []membership.Daemon) []membership.Daemon {
	out := append([]membership.Daemon(nil), daemons...)
	weights := make(map[string]uint64, len(out))
	for _, d := range out {
		weights[d.Name] = entry.Weight(id, d.Name)
	}
	sort.Slice(out, func(i, j int) bool { return weights[out[i].Name] > weights[out[j].Name] })
	return out
}

// chooseBackup returns the backup for a record held by self: the first daemon
// in rendezvous order that is not leaving and is in another failure domain, or
// else the first one in the same domain. Daemons in avoid are skipped.
func chooseBackup(id string, self membership.Daemon, daemons []membership.Daemon, avoid map[string]bool) (membership.Daemon, bool) {
	var sameDomain membership.Daemon
	for _, d := range rendezvousOrder(id, daemons) {
		if d.Name == self.Name || d.Leaving || avoid[d.Name] {
			continue
		}
		if d.Domain != self.Domain {
			return d, true
		}
		if sameDomain.Name == "" {
			sameDomain = d
		}
	}
	return sameDomain, sameDomain.Name != ""
}

// backupCandidates returns up to locateFanout daemons other than self that may
// have a copy of a record: the first daemons of different failure domains, then
// the others in rendezvous order.
func backupCandidates(id string, self membership.Daemon, daemons []membership.Daemon) []membership.Daemon {
	order := rendezvousOrder(id, daemons)
	includedDomains := map[string]bool{}
	var first, rest []membership.Daemon
	for _, d := range order {
		switch {
		case d.Name == self.Name:
		case !includedDomains[d.Domain] && len(first) < locateFanout/2:
			includedDomains[d.Domain] = true
			first = append(first, d)
		default:
			rest = append(rest, d)
		}
	}
	out := append(first, rest...)
	return out[:min(len(out), locateFanout)]
}
