package autoscale

import (
	"math"
	"sort"
	"time"
)

const (
	// onDemandShare is the number of on-demand upstreams as a share of those
	// that the load needs.
	onDemandShare = 0.45
	// reclaimableShare is the number of reclaimable upstreams over all failure
	// domains, relative to what the load needs. With three domains the service
	// withstands the loss of one, and nearly that of two.
	reclaimableShare = 1.05
	// floorShare and floorSpread set the smallest target, so that a sudden load
	// does not meet a tiny service. With n initial upstreams it is floorShare*n
	// + floorSpread*sqrt(n), because the load of large services varies
	// relatively less.
	floorShare  = 0.5
	floorSpread = 0.9
	// The service grows if the median time to the first answer, relative to the
	// target, exceeds growMedian and the share of late requests exceeds growLate.
	// The median is hardly affected by single slow upstreams, which more upstreams
	// would not help. A median above overloadMedian is sufficient on its own.
	growMedian     = 0.31
	growLate       = 0.12
	overloadMedian = 0.45
	// The service shrinks if the median is below shrinkMedian and the share of
	// late requests is below shrinkLate.
	shrinkMedian = 0.3
	shrinkLate   = 0.04
	// growStep and shrinkStep are the sizes of a step as a share of the target.
	growStep   = 0.25
	shrinkStep = 0.1
	// excessShrinkStep replaces shrinkStep while the target exceeds the initial
	// number of upstreams: capacity added for an overload is not needed after
	// it.
	excessShrinkStep = 0.25
	// shrinkInterval is the minimum time between two steps down. It exceeds the
	// period over which late requests are counted, so that each step takes
	// effect before the next one is decided.
	shrinkInterval = 4500 * time.Millisecond
	// minRequests is the minimum number of requests for the target to be
	// adjusted to their latencies.
	minRequests = 30
	// retryDelay is the time after which a refused order is repeated, because
	// upstreams that are unavailable now are still unavailable a moment later.
	// An order that was accepted but not fulfilled is repeated after the boot
	// time plus retryDelay.
	retryDelay = 3 * time.Second
	// replaceAfter is how long a shortage must last before on-demand upstreams
	// substitute for reclaimable ones.
	replaceAfter = 500 * time.Millisecond
	// settleTime is how long a new Planner sends no orders, unless it was resumed:
	// while a deployment starts, its upstreams appear one after the other.
	settleTime = 5 * time.Second
	// releaseAfter is how long the service must have had enough upstreams before
	// the substitutes are released.
	releaseAfter = 2 * time.Second
)

// Planner decides about one service. It records what it ordered and why; a new
// Planner starts from what it observes. It performs no I/O and is not safe for
// concurrent use.
type Planner struct {
	// target is the number of upstreams that the service should have.
	target int
	// startedAt is the time of the first observation.
	startedAt time.Time
	// isResumed is true if target and initial come from an earlier holder.
	isResumed bool
	// lastOrders holds the latest order of each place.
	lastOrders map[Place]sentOrder
	// grownAt and shrunkAt are when the target last grew and shrank.
	grownAt  time.Time
	shrunkAt time.Time
	// substitutes is the number of on-demand upstreams that substitute for
	// reclaimable ones.
	substitutes int
	// initial is the number of upstreams that the service had before the first
	// order.
	initial int
	// shortageSince and enoughSince are the start of the present period with too
	// few or with enough upstreams; the other one is zero.
	shortageSince time.Time
	enoughSince   time.Time
	// progress is that of the present part of a version move, if there is one, and
	// moveEndedAt is when the end of a move was observed last.
	progress    moveProgress
	moveEndedAt time.Time
}

// sentOrder is an order that was sent; its count is -1 if it was refused.
type sentOrder struct {
	count int
	at    time.Time
}

// NewPlanner returns a Planner without earlier decisions.
func NewPlanner() *Planner { return &Planner{lastOrders: map[Place]sentOrder{}} }

// ResumePlanner returns a Planner that continues from the target and the initial
// number of upstreams of an earlier one. Otherwise a holder that takes over while
// upstreams are missing would treat the few live ones as all that the load needs.
func ResumePlanner(target, initial int, now time.Time) *Planner {
	p := NewPlanner()
	p.target, p.initial, p.isResumed, p.shrunkAt = target, initial, target > 0 && initial > 0, now
	return p
}

// Target returns the number of upstreams that the service should have.
func (p *Planner) Target() int { return p.target }

// Plan returns the orders to send now. It treats them as sent; the caller passes
// those that were not carried out to RecordRefusal.
func (p *Planner) Plan(o *Observation) []Order {
	domains := domainsByPrice(o)
	if len(domains) == 0 {
		return nil
	}
	if p.startedAt.IsZero() {
		p.startedAt = o.Now
	}
	if !p.isResumed && o.Now.Sub(p.startedAt) < settleTime {
		p.target = max(p.target, estimateNeed(o))
		p.initial = p.target
		p.shrunkAt = o.Now
		return nil
	}
	if !o.Move.isSame(p.progress.move) {
		p.beginMove(o)
	}
	if o.Move.isActive() {
		return p.planMove(o, domains)
	}
	p.adjustTarget(o, len(domains))
	reclaimable := p.reclaimableTargets(o, domains)
	var orders []Order
	for _, domain := range domains {
		orders = p.appendOrder(orders, o, Place{domain, Reclaimable}, reclaimable[domain])
	}
	for domain, count := range p.onDemandTargets(o, domains, reclaimable) {
		orders = p.appendOrder(orders, o, Place{domain, OnDemand}, count)
	}
	sortOrders(orders)
	return orders
}

// sortOrders sorts orders: those of reclaimable upstreams come first, as these are cheaper.
func sortOrders(orders []Order) {
	sort.Slice(orders, func(i, j int) bool {
		if orders[i].Kind != orders[j].Kind {
			return orders[i].Kind > orders[j].Kind
		}
		return orders[i].Domain < orders[j].Domain
	})
}

// estimateNeed estimates how many upstreams the load needs from the live ones.
// Reclaimable ones among them were ordered by an earlier holder, which orders more
// than the load needs.
func estimateNeed(o *Observation) int {
	reclaimable := 0
	for place, count := range o.Live {
		if place.Kind == Reclaimable {
			reclaimable += count
		}
	}
	total := o.total()
	if reclaimable == 0 {
		return total
	}
	return int(math.Round(float64(total) / (onDemandShare + reclaimableShare)))
}

// RecordRefusal records that an order was not carried out, so that it is repeated
// after a while.
func (p *Planner) RecordRefusal(order Order, now time.Time) {
	p.lastOrders[order.Place] = sentOrder{count: -1, at: now}
}

// domainsByPrice returns the failure domains in which the service can run, the
// cheapest first.
func domainsByPrice(o *Observation) []string {
	var domains []string
	seen := map[string]bool{}
	for place := range o.Live {
		if !seen[place.Domain] {
			seen[place.Domain] = true
			domains = append(domains, place.Domain)
		}
	}
	for domain := range o.Bounds.DomainPrices {
		if !seen[domain] {
			seen[domain] = true
			domains = append(domains, domain)
		}
	}
	sort.Slice(domains, func(i, j int) bool {
		a, b := o.Bounds.DomainPrices[domains[i]], o.Bounds.DomainPrices[domains[j]]
		if a != b {
			return a < b
		}
		return domains[i] < domains[j]
	})
	return domains
}

// adjustTarget grows or shrinks the target as the latencies require, within the
// bounds.
func (p *Planner) adjustTarget(o *Observation, domains int) {
	limit := o.Bounds.MaxPerDomain * domains
	switch {
	case o.Requests < minRequests:
	case isOverloaded(o) && o.Now.Sub(p.grownAt) > o.Bounds.BootTime+time.Second:
		// The live upstreams do not suffice, whatever the target was.
		p.target = max(p.target, min(estimateNeed(o), limit)) + max(1, int(growStep*float64(p.target)))
		p.grownAt, p.shrunkAt = o.Now, o.Now
	case !o.Move.isActive() && o.Median < shrinkMedian && o.LateShare < shrinkLate && o.Now.Sub(p.shrunkAt) > shrinkInterval && o.total() >= p.target:
		step := shrinkStep
		if p.target > p.initial {
			step = excessShrinkStep
		}
		p.target -= max(1, int(step*float64(p.target)))
		p.shrunkAt = o.Now
	}
	floor := max(o.Bounds.MinPerDomain*domains, int(math.Ceil(floorShare*float64(p.initial)+floorSpread*math.Sqrt(float64(p.initial)))))
	p.target = min(max(p.target, floor), limit)
}

// isOverloaded reports whether the latencies require more upstreams.
func isOverloaded(o *Observation) bool {
	return o.Median > overloadMedian || o.Median > growMedian && o.LateShare > growLate
}

// reclaimableTargets returns how many reclaimable upstreams each failure domain
// should have.
func (p *Planner) reclaimableTargets(o *Observation, domains []string) map[string]int {
	targets := map[string]int{}
	if !isReclaimableCheaper(o) {
		return targets
	}
	base := p.baseTargets(o, domains)
	perDomain := max(o.Bounds.MinPerDomain, int(math.Round(reclaimableShare*float64(p.target)/float64(len(domains)))))
	for _, domain := range domains {
		targets[domain] = min(perDomain, o.Bounds.MaxPerDomain-base[domain])
	}
	return targets
}

// isReclaimableCheaper reports whether reclaimable upstreams are offered at a
// lower price than on-demand ones.
func isReclaimableCheaper(o *Observation) bool {
	return o.Bounds.ReclaimablePrice > 0 && o.Bounds.ReclaimablePrice < 1
}

// baseTargets returns the number of on-demand upstreams per failure domain,
// without substitutes, assigned to the cheapest domains first. All upstreams are
// on-demand if reclaimable ones are not cheaper.
func (p *Planner) baseTargets(o *Observation, domains []string) map[string]int {
	counts := map[string]int{}
	if !isReclaimableCheaper(o) {
		for i := range p.target {
			counts[domains[i%len(domains)]]++
		}
		return counts
	}
	for i := range max(1, int(math.Ceil(onDemandShare*float64(p.target)))) {
		counts[domains[i%len(domains)]]++
	}
	return counts
}

// onDemandTargets returns how many on-demand upstreams each failure domain should
// have: the base, and substitutes for missing reclaimable ones. It returns nil
// until a shortage or its end has lasted long enough.
func (p *Planner) onDemandTargets(o *Observation, domains []string, reclaimable map[string]int) map[string]int {
	counts := p.baseTargets(o, domains)
	shortage, surplus := p.target, 0
	for _, domain := range domains {
		counts[domain] = max(counts[domain], o.Bounds.MinPerDomain-reclaimable[domain])
		shortage -= counts[domain] + o.Live[Place{domain, Reclaimable}]
		surplus += o.Live[Place{domain, OnDemand}] - counts[domain]
	}
	p.recordShortage(shortage, o.Now)
	if p.isReplacing(o, shortage, surplus) {
		return nil
	}
	switch {
	case shortage > 0 && o.Now.Sub(p.shortageSince) >= replaceAfter:
		// Substitutes stay while reclaimable upstreams return one after the other.
		// Surplus on-demand upstreams from a version move stay only as far as
		// they cover the shortage.
		surplus = max(shortage, min(surplus, p.substitutes))
		p.substitutes = surplus
	case shortage <= 0 && o.Now.Sub(p.enoughSince) >= releaseAfter:
		surplus = 0
		p.substitutes = surplus
	default:
		// Upstreams that are ordered but may not be live yet stay ordered.
		return nil
	}
	for placed := true; surplus > 0 && placed; {
		placed = false
		for _, domain := range domains {
			if surplus > 0 && counts[domain]+o.Live[Place{domain, Reclaimable}] < o.Bounds.MaxPerDomain {
				counts[domain]++
				surplus--
				placed = true
			}
		}
	}
	return counts
}

// recordShortage updates the start of the present period with too few or with
// enough upstreams.
func (p *Planner) recordShortage(shortage int, now time.Time) {
	if shortage > 0 {
		p.enoughSince = time.Time{}
		if p.shortageSince.IsZero() {
			p.shortageSince = now
		}
		return
	}
	p.shortageSince = time.Time{}
	if p.enoughSince.IsZero() {
		p.enoughSince = now
	}
}

// appendOrder appends an order unless the place has that count already, or the
// same order is pending or was refused recently.
func (p *Planner) appendOrder(orders []Order, o *Observation, place Place, count int) []Order {
	last, known := p.lastOrders[place]
	if known && last.count == count && (o.Live[place] == count || o.Now.Sub(last.at) < o.Bounds.BootTime+retryDelay) {
		return orders
	}
	if known && last.count < 0 && o.Now.Sub(last.at) < retryDelay {
		return orders
	}
	if !known && o.Live[place] == count {
		return orders
	}
	p.lastOrders[place] = sentOrder{count: count, at: o.Now}
	return append(orders, Order{Place: place, Count: count})
}
