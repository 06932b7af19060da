package membership

import (
	"sort"
	"sync/atomic"
	"time"
)

// localMinDivisor sets the size below which a region is too small to serve a pool
// alone: 1/10 of the subset's size. Only then are upstreams of other regions used,
// as every token from them incurs the latency between regions.
const localMinDivisor = 10

// subset is the set of upstreams of a pool that the daemon sends new work to.
type subset struct {
	upstreams []Upstream
	records   []*record
	// validUntil is when the first excluded upstream may receive work again; zero
	// if none is excluded.
	validUntil time.Time
	// loadsStale is set if a load report arrived after upstreams was built.
	loadsStale atomic.Bool
}

func (s *subset) isValid(now time.Time) bool {
	return !s.loadsStale.Load() && (s.validUntil.IsZero() || now.Before(s.validUntil))
}

// newSubset selects a subset, or reuses the selection of the previous one if it
// is still valid, and copies the latest load reports. Table.mu must be held.
func newSubset(records []*record, previous *subset, region string, limit int, now time.Time) *subset {
	s := &subset{}
	if previous != nil && (previous.validUntil.IsZero() || now.Before(previous.validUntil)) {
		s.records, s.validUntil = previous.records, previous.validUntil
	} else {
		s.selectRecords(records, region, limit, now)
	}
	s.upstreams = make([]Upstream, len(s.records))
	for i, r := range s.records {
		s.upstreams[i] = r.upstream()
	}
	return s
}

func (s *subset) selectRecords(records []*record, region string, limit int, now time.Time) {
	var local, remote []*record
	for _, r := range records {
		if r.isLeaving() || r.Withheld {
			continue
		}
		if until := r.blockedUntil(); now.Before(until) {
			if s.validUntil.IsZero() || until.Before(s.validUntil) {
				s.validUntil = until
			}
			continue
		}
		if r.Region == region {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	s.records = spreadAcrossDomains(local, limit)
	if len(s.records) < max(1, limit/localMinDivisor) {
		s.records = append(s.records, spreadAcrossDomains(remote, limit-len(s.records))...)
	}
}

// spreadAcrossDomains returns up to limit records. It takes one from each failure
// domain in turn, in descending order of rank.
func spreadAcrossDomains(records []*record, limit int) []*record {
	if len(records) <= limit {
		return records
	}
	byDomain := map[string][]*record{}
	for _, r := range records {
		byDomain[r.Domain] = append(byDomain[r.Domain], r)
	}
	domains := make([]string, 0, len(byDomain))
	for domain, members := range byDomain {
		domains = append(domains, domain)
		sort.Slice(members, func(i, j int) bool { return members[i].rank > members[j].rank })
	}
	sort.Strings(domains)
	out := make([]*record, 0, limit)
	for round := 0; len(out) < limit; round++ {
		for _, domain := range domains {
			if members := byDomain[domain]; round < len(members) && len(out) < limit {
				out = append(out, members[round])
			}
		}
	}
	return out
}
