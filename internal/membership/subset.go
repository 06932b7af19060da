package membership

import (
	"sort"
	"sync/atomic"
	"time"
)

// remoteBelow is the share of the subset's size below which a region counts as
// too small to serve a pool alone: 1/10. Upstreams of other regions cost a
// long way for each token, so they are used only then.
const remoteBelow = 10

// subset is the upstreams of a pool that the daemon sends new work to.
type subset struct {
	upstreams []Upstream
	records   []*record
	// until is when the next ejection ends; zero for never.
	until time.Time
	// stale says that a load report arrived since.
	stale atomic.Bool
}

func (s *subset) holds(now time.Time) bool {
	return !s.stale.Load() && (s.until.IsZero() || now.Before(s.until))
}

// newSubset chooses the subset, or takes over the choice of the previous one
// with new loads when that still holds. The Table's lock is held.
func newSubset(records []*record, previous *subset, region string, limit int, now time.Time) *subset {
	s := &subset{}
	if previous != nil && (previous.until.IsZero() || now.Before(previous.until)) {
		s.records, s.until = previous.records, previous.until
	} else {
		s.choose(records, region, limit, now)
	}
	s.upstreams = make([]Upstream, len(s.records))
	for i, r := range s.records {
		s.upstreams[i] = r.upstream()
	}
	return s
}

func (s *subset) choose(records []*record, region string, limit int, now time.Time) {
	var local, remote []*record
	for _, r := range records {
		if r.leaving() {
			continue
		}
		if until := r.blockedUntil(); now.Before(until) {
			if s.until.IsZero() || until.Before(s.until) {
				s.until = until
			}
			continue
		}
		if r.Region == region {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	s.records = spread(local, limit)
	if len(s.records) < max(1, limit/remoteBelow) {
		s.records = append(s.records, spread(remote, limit-len(s.records))...)
	}
}

// spread takes up to limit records, those with the highest rank of each failure
// domain in turn.
func spread(records []*record, limit int) []*record {
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
