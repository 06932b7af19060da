package entry

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/membership"
)

// MaxEntries is the largest number of entries in an answer. Callers need a few
// alternatives in each failure domain, not the whole fleet.
const MaxEntries = 12

// Weight returns the rendezvous hashing weight of a daemon for a key. Each key
// orders the daemons differently, and adding or removing a daemon does not change
// the relative order of the remaining ones.
func Weight(key, daemon string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(daemon)
	return digest.Sum64()
}

// Choose returns up to MaxEntries entries for a caller, in the order in which it
// should try them. ttl is how long the caller may cache them. Daemons that are leaving
// or have no address are omitted, and daemons of the caller's region come first.
// Consecutive entries are in different failure domains as far as possible, so that the
// reclamation of one domain does not remove the caller's next choice too.
func Choose(daemons []membership.Daemon, caller Caller, ttl time.Duration) Answer {
	candidates := make([]membership.Daemon, 0, len(daemons))
	for _, d := range daemons {
		if !d.Leaving && d.Address != "" {
			candidates = append(candidates, d)
		}
	}
	key, region := caller.Workspace+"\x00"+caller.Salt, caller.Region
	weights := make(map[string]uint64, len(candidates))
	for _, d := range candidates {
		weights[d.Name] = Weight(key, d.Name)
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if inRegion := a.Region == region; region != "" && inRegion != (b.Region == region) {
			return inRegion
		}
		if weights[a.Name] != weights[b.Name] {
			return weights[a.Name] > weights[b.Name]
		}
		return a.Name < b.Name
	})
	answer := Answer{Entries: spreadAcrossDomains(candidates, region), TTLMs: ttl.Milliseconds()}
	digest := xxhash.New()
	for _, e := range answer.Entries {
		_, _ = digest.WriteString(e.Address)
		_, _ = digest.Write([]byte{0})
	}
	answer.Version = strconv.FormatUint(digest.Sum64(), 16)
	return answer
}

// spreadAcrossDomains returns the entries of up to MaxEntries daemons, which are
// given in order of preference. The region's daemons come first, but up to a
// quarter of the entries is reserved for daemons of other regions, because a region
// may become unreachable.
func spreadAcrossDomains(daemons []membership.Daemon, region string) []Entry {
	var inRegion, otherRegions []membership.Daemon
	for _, d := range daemons {
		if region == "" || d.Region == region {
			inRegion = append(inRegion, d)
		} else {
			otherRegions = append(otherRegions, d)
		}
	}
	reserved := min(len(otherRegions), MaxEntries/4)
	entries := appendRoundRobin(nil, inRegion, MaxEntries-reserved)
	return appendRoundRobin(entries, otherRegions, MaxEntries)
}

// appendRoundRobin appends daemons to entries in rounds, each with the next daemon of
// every failure domain, until there are limit entries.
func appendRoundRobin(entries []Entry, daemons []membership.Daemon, limit int) []Entry {
	domainIndex := map[string]int{}
	var byDomain [][]membership.Daemon
	for _, d := range daemons {
		i, ok := domainIndex[d.Domain]
		if !ok {
			i = len(byDomain)
			domainIndex[d.Domain] = i
			byDomain = append(byDomain, nil)
		}
		byDomain[i] = append(byDomain[i], d)
	}
	remaining := len(daemons)
	for round := 0; remaining > 0; round++ {
		for _, list := range byDomain {
			if round >= len(list) {
				continue
			}
			if len(entries) >= limit {
				return entries
			}
			remaining--
			entries = append(entries, Entry{Address: list[round].Address, Domain: list[round].Domain})
		}
	}
	return entries
}
