package upstreamstate

import (
	"math"
	"slices"
	"time"
)

const (
	// usualPaceAge is the time constant with which a reported pace decays to the usual one.
	usualPaceAge = 2 * time.Second
	// slowThreshold is the lasting slowness from which an upstream counts as slow.
	slowThreshold = 1.5
	// minCapacityShare and maxCapacityShare bound the capacity of one upstream in units of a
	// usual one, so that a wrong report does not count as a whole pool.
	minCapacityShare, maxCapacityShare = 1.0 / 8, 4
)

// PoolSummary describes the upstreams of a pool.
type PoolSummary struct {
	Upstreams int
	// Known is the number of upstreams with a report of at most a second.
	Known int
	// Capacity is the sum over the upstreams in units of a usual one: an upstream of which
	// nothing is known counts as 1.
	Capacity float64
	// MeanPace is the mean of the reported paces as discounted by their ages.
	MeanPace float64
	// Slow are the names of the upstreams that are lastingly slow, in order.
	Slow []string
}

// Capacity returns the capacity of a pool in units of a usual upstream, as in PoolSummary.
func (s *Store) Capacity(pool string, now time.Time) float64 { return s.Summaries(now)[pool].Capacity }

// VersionCapacity is Capacity of the upstreams of one version.
func (s *Store) VersionCapacity(pool, version string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, total := s.meanSlots(pool), 0.0
	for _, r := range s.known {
		if r.process.Pool == pool && r.process.Version == version {
			total += r.capacity(slots, now)
		}
	}
	return total
}

// Summaries returns the summaries of all pools.
func (s *Store) Summaries(now time.Time) map[string]PoolSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, out := map[string]float64{}, map[string]PoolSummary{}
	for _, r := range s.known {
		pool := r.process.Pool
		if _, ok := slots[pool]; !ok {
			slots[pool] = s.meanSlots(pool)
		}
		p := out[pool]
		p.Upstreams++
		p.Capacity += r.capacity(slots[pool], now)
		p.MeanPace += r.paceBy(now)
		if r.load.Pace > 0 && now.Sub(r.takenAt) <= time.Second {
			p.Known++
		}
		if r.slownessBy(now) >= slowThreshold {
			p.Slow = append(p.Slow, r.process.Name)
		}
		out[pool] = p
	}
	for pool, p := range out {
		p.MeanPace /= float64(p.Upstreams)
		slices.Sort(p.Slow)
		out[pool] = p
	}
	return out
}

// meanSlots returns the mean number of slots of the upstreams of a pool; 0 if none is known.
// s.mu must be held.
func (s *Store) meanSlots(pool string) float64 {
	sum, count := 0, 0
	for _, r := range s.known {
		if r.process.Pool == pool && r.load.Slots > 0 {
			sum += r.load.Slots
			count++
		}
	}
	return float64(sum) / float64(max(1, count))
}

// paceBy returns the reported pace as discounted by its age; 1 is that of an unknown upstream.
func (r *record) paceBy(now time.Time) float64 {
	if r.load.Pace <= 0 {
		return 1
	}
	age := max(0, now.Sub(r.takenAt))
	return 1 + (r.load.Pace-1)*math.Exp(-float64(age)/float64(usualPaceAge))
}

// capacity returns the capacity in units of a usual upstream with a number of slots.
func (r *record) capacity(usualSlots float64, now time.Time) float64 {
	share := 1 / (r.slownessBy(now) * r.paceBy(now))
	if r.load.Slots > 0 && usualSlots > 0 {
		share *= float64(r.load.Slots) / usualSlots
	}
	return min(max(share, minCapacityShare), maxCapacityShare)
}
