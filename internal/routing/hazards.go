package routing

import (
	"math"
	"time"

	"rattantide/internal/membership"
)

const (
	// reclaimPrior is the rate of a reclaimable instance before any reclaim was
	// seen: 2,200 replacements a day among 8,900 reclaimable instances.
	reclaimPrior = 2200.0 / 8900 / 86400
	// reclaimHalfLife is how fast the memory of a reclaim fades. Reclaims come
	// in waves of a few minutes.
	reclaimHalfLife = 10 * time.Minute
	// reclaimWeight is the rate that one recent reclaim adds to its domain: one
	// further reclaim within about ten minutes.
	reclaimWeight = 1.0 / 600
	// maxReclaims bounds the rate that a wave can add.
	maxReclaims = 60
)

// hazards estimates reclaim rates by failure domain and instance class. Times
// are counted from the tracker's start.
type hazards struct {
	domains map[string]*domainReclaims
}

type domainReclaims struct {
	count float64
	at    time.Duration
	// rate is the sum last computed, at ratedAt; it saves an exponential per
	// candidate.
	rate    float64
	ratedAt time.Duration
}

func (h *hazards) domain(name string) *domainReclaims {
	if h.domains == nil {
		h.domains = map[string]*domainReclaims{}
	}
	d := h.domains[name]
	if d == nil {
		d = &domainReclaims{rate: reclaimPrior}
		h.domains[name] = d
	}
	return d
}

func (d *domainReclaims) reclaimed(now time.Duration) {
	d.count = min(d.decayed(now)+1, maxReclaims)
	d.at = now
	d.rate, d.ratedAt = reclaimPrior+reclaimWeight*d.count, now
}

func (d *domainReclaims) decayed(now time.Duration) float64 {
	return d.count * math.Exp2(-(now-d.at).Seconds()/reclaimHalfLife.Seconds())
}

// hazard returns the reclaims per second expected for an upstream.
func (d *domainReclaims) hazard(class membership.InstanceClass, now time.Duration) float64 {
	if class == membership.OnDemand {
		return 0
	}
	if d.count > 0 && now-d.ratedAt > time.Second {
		d.rate, d.ratedAt = reclaimPrior+reclaimWeight*d.decayed(now), now
	}
	return d.rate
}
