package entry

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/membership"
)

// MaxEntries bounds an answer. Callers need a few alternatives in each failure
// domain, not the whole fleet.
const MaxEntries = 12

// Weight is the rendezvous weight of a daemon for a key: each key orders the
// daemons in its own way, and a change of one daemon moves no other.
func Weight(key, daemon string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(daemon)
	return digest.Sum64()
}

// Choose returns the entries for a caller. Daemons that are leaving are left
// out. Consecutive entries are in different failure domains as long as there
// are such, so that one reclaimed domain does not take the caller's next choice
// as well. Daemons of the region come first.
func Choose(daemons []membership.Daemon, caller Caller, ttl time.Duration) Answer {
	live := make([]membership.Daemon, 0, len(daemons))
	for _, d := range daemons {
		if !d.Leaving && d.Address != "" {
			live = append(live, d)
		}
	}
	key, region := caller.Workspace+"\x00"+caller.Salt, caller.Region
	weights := make(map[string]uint64, len(live))
	for _, d := range live {
		weights[d.Name] = Weight(key, d.Name)
	}
	sort.Slice(live, func(i, j int) bool {
		a, b := live[i], live[j]
		if near := a.Region == region; region != "" && near != (b.Region == region) {
			return near
		}
		if weights[a.Name] != weights[b.Name] {
			return weights[a.Name] > weights[b.Name]
		}
		return a.Name < b.Name
	})
	answer := Answer{Entries: spread(live, region), TTLMs: ttl.Milliseconds()}
	digest := xxhash.New()
	for _, e := range answer.Entries {
		_, _ = digest.WriteString(e.Address)
		_, _ = digest.Write([]byte{0})
	}
	answer.Version = strconv.FormatUint(digest.Sum64(), 16)
	return answer
}

// spread takes the daemons in rounds: each round has one of each failure domain
// in the order given. The region's daemons come first, and a quarter of the
// answer is left to others, because a region may be cut off.
func spread(daemons []membership.Daemon, region string) []Entry {
	var near, far []membership.Daemon
	for _, d := range daemons {
		if region == "" || d.Region == region {
			near = append(near, d)
		} else {
			far = append(far, d)
		}
	}
	reserved := min(len(far), MaxEntries/4)
	entries := rounds(nil, near, MaxEntries-reserved)
	return rounds(entries, far, MaxEntries)
}

func rounds(entries []Entry, daemons []membership.Daemon, limit int) []Entry {
	index := map[string]int{}
	var byDomain [][]membership.Daemon
	for _, d := range daemons {
		i, ok := index[d.Domain]
		if !ok {
			i = len(byDomain)
			index[d.Domain] = i
			byDomain = append(byDomain, nil)
		}
		byDomain[i] = append(byDomain[i], d)
	}
	left := len(daemons)
	for round := 0; left > 0; round++ {
		for _, list := range byDomain {
			if round >= len(list) {
				continue
			}
			if len(entries) >= limit {
				return entries
			}
			left--
			entries = append(entries, Entry{Address: list[round].Address, Domain: list[round].Domain})
		}
	}
	return entries
}
