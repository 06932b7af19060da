package routing

import (
	"math"
	"time"

	"rattantide/internal/membership"
)

const (
	// reclaimPrior is the assumed rate of a reclaimable instance while no
	// reclaim has been observed: 2,200 replacements a day among 8,900
	// reclaimable instances.
	reclaimPrior = 2200.0 / 8900 / 86400
	// reclaimHalfLife is the time in which the weight of a reclaim halves.
	// Reclaims occur in waves of a few minutes.
	reclaimHalfLife = 10 * time.Minute
	// reclaimWeight is the rate that one recent reclaim adds to that of its
	// domain: one further reclaim within about ten minutes.
	reclaimWeight = 1.0 / 600
	// maxReclaimCount bounds the number of reclaims in a wave that raise the
	// rate.
	maxReclaimCount = 60
)

// reclaimRates estimates reclaim rates by failure domain and instance class.
// Times are counted from the tracker's start.
type reclaimRates struct {
	domains map[string]*domainReclaims
}

// domainReclaims counts the reclaims in a failure domain, with exponential
// decay.
type domainReclaims struct {
	count     float64
	countedAt time.Duration
	// rate is the latest computed sum, as of ratedAt. It avoids computing an
	// exponential for every candidate.
	rate    float64
	ratedAt time.Duration
}

func (r *reclaimRates) domain(name string) *domainReclaims {
	if r.domains == nil {
		r.domains = map[string]*domainReclaims{}
	}
	d := r.domains[name]
	if d == nil {
		d = &domainReclaims{rate: reclaimPrior}
		r.domains[name] = d
	}
	return d
}

func (d *domainReclaims) recordReclaim(now time.Duration) {
	d.count = min(d.decayedCount(now)+1, maxReclaimCount)
	d.countedAt = now
	d.rate, d.ratedAt = reclaimPrior+reclaimWeight*d.count, now
}

func (d *domainReclaims) decayedCount(now time.Duration) float64 {
	return d.count * math.Exp2(-(now-d.countedAt).Seconds()/reclaimHalfLife.Seconds())
}

// reclaimRate returns the expected reclaims per second of an upstream; 0 for
// on-demand instances.
func (d *domainReclaims) reclaimRate(class membership.InstanceClass, now time.Duration) float64 {
	if class == membership.OnDemand {
		return 0
	}
	if d.count > 0 && now-d.ratedAt > time.Second {
		d.rate, d.ratedAt = reclaimPrior+reclaimWeight*d.decayedCount(now), now
	}
	return d.rate
}
