package handoff

import (
	"sort"

	"rattantide/internal/entry"
	"rattantide/internal/membership"
)

// locateFanout is how many daemons are asked for a record that is not held
// here. The backup is the first daemon in the record's order whose failure
// domain differs from the holder's, so that it is among the first of each of
// two domains; the rest allows for different views of the membership.
const locateFanout = 8

// ranked returns daemons in the rendezvous order of a record.
func ranked(id string, daemons []membership.Daemon) []membership.Daemon {
	out := append([]membership.Daemon(nil), daemons...)
	weights := make(map[string]uint64, len(out))
	for _, d := range out {
		weights[d.Name] = entry.Weight(id, d.Name)
	}
	sort.Slice(out, func(i, j int) bool { return weights[out[i].Name] > weights[out[j].Name] })
	return out
}

// chooseBackup returns the backup for a record held by self: the first daemon
// in its order that is not leaving and is in another failure domain, or else
// in the same one.
func chooseBackup(id string, self membership.Daemon, daemons []membership.Daemon, avoid map[string]bool) (membership.Daemon, bool) {
	var same membership.Daemon
	for _, d := range ranked(id, daemons) {
		if d.Name == self.Name || d.Leaving || avoid[d.Name] {
			continue
		}
		if d.Domain != self.Domain {
			return d, true
		}
		if same.Name == "" {
			same = d
		}
	}
	return same, same.Name != ""
}

// likelyBackups returns the daemons to ask for a record, other than self: the
// first of each failure domain before the others.
func likelyBackups(id string, self membership.Daemon, daemons []membership.Daemon) []membership.Daemon {
	order := ranked(id, daemons)
	seen := map[string]bool{}
	var first, rest []membership.Daemon
	for _, d := range order {
		switch {
		case d.Name == self.Name:
		case !seen[d.Domain] && len(first) < locateFanout/2:
			seen[d.Domain] = true
			first = append(first, d)
		default:
			rest = append(rest, d)
		}
	}
	out := append(first, rest...)
	return out[:min(len(out), locateFanout)]
}
