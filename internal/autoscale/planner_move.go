package autoscale

import "slices"

// planMove returns the orders to send during a version move. The version that serves must be
// able to take all requests until the switch, and the next one from then on. Nothing is
// released: an order names a number, not a version, so that it could remove upstreams that
// the traffic or a rollback needs.
func (p *Planner) planMove(o *Observation, domains []string) []Order {
	p.progress.update(o)
	p.adjustTarget(o, len(domains))
	targets := p.reclaimableTargets(o, domains)
	onDemand := p.onDemandTargets(o, domains, targets)
	if p.progress.isStarting(o) {
		return nil
	}
	a := &allocation{missing: map[Place]int{}, room: map[string]int{}}
	for _, domain := range domains {
		a.room[domain] = p.moveRoom(o, domain)
	}
	// Upstreams that get the next version do not help the serving one.
	if p.progress.started != startedNext {
		p.addMissingServing(a, o, domains, targets, onDemand)
	}
	usable := slices.DeleteFunc(slices.Clone(domains), func(domain string) bool { return p.isRefused(o, Place{domain, OnDemand}) })
	a.spread(usable, p.missingNext(o)-a.total())
	var orders []Order
	for place, count := range a.missing {
		p.progress.orders[place] = liveAtOrder{o.Live[place], o.Next[place]}
		order := Order{Place: place, Count: o.all(place) + p.pending(o, place) + count}
		p.lastOrders[place] = sentOrder{count: order.Count, at: o.Now}
		orders = append(orders, order)
	}
	sortOrders(orders)
	return orders
}

// beginMove discards the orders that were sent before the present part of a move: the number
// of upstreams at a place now has another meaning. Refusals are kept.
func (p *Planner) beginMove(o *Observation) {
	if p.progress.move.Next != "" {
		p.moveEndedAt = o.Now
	}
	p.progress = newMoveProgress(o)
	for place, last := range p.lastOrders {
		if last.count >= 0 {
			delete(p.lastOrders, place)
		}
	}
}

// isReplacing reports whether the on-demand upstreams that a move has left over are kept until
// the reclaimable ones that replace them can be live: right after a switch, the caches of all
// upstreams are empty, and fewer of them would serve worse. They must cover the shortage.
func (p *Planner) isReplacing(o *Observation, shortage, surplus int) bool {
	isRecent := !p.moveEndedAt.IsZero() && o.Now.Sub(p.moveEndedAt) < o.Bounds.BootTime+retryDelay
	return isRecent && shortage > 0 && surplus >= shortage
}

// addMissingServing adds the upstreams that the serving version lacks. For its
// on-demand ones, only the total number matters during a move, not the failure domains.
func (p *Planner) addMissingServing(a *allocation, o *Observation, domains []string, reclaimable, onDemand map[string]int) {
	lacking := 0
	var usable []string
	for _, domain := range domains {
		place := Place{domain, Reclaimable}
		if !p.isRefused(o, place) {
			a.add(place, reclaimable[domain]-o.Live[place]-p.pending(o, place))
		}
		place = Place{domain, OnDemand}
		if !p.isRefused(o, place) {
			usable = append(usable, domain)
		}
		lacking += onDemand[domain] - o.Live[place] - p.pending(o, place)
	}
	if onDemand != nil {
		a.spread(usable, lacking)
	}
}

// missingNext returns how many upstreams the next version lacks for the load.
func (p *Planner) missingNext(o *Observation) int {
	if o.Move.Next == "" || o.Move.Next == o.Move.Serving || p.progress.started == startedServing {
		return 0
	}
	missing := p.target - o.nextTotal()
	for place := range p.lastOrders {
		missing -= p.pending(o, place)
	}
	return missing
}

// moveRoom returns how many upstreams a failure domain may still get beside those of all
// versions.
func (p *Planner) moveRoom(o *Observation, domain string) int {
	room := o.Bounds.MaxPerDomain
	for _, kind := range []Kind{OnDemand, Reclaimable} {
		place := Place{domain, kind}
		room -= o.all(place) + p.pending(o, place)
	}
	return room
}

// pending returns how many upstreams were ordered at a place and may still appear.
func (p *Planner) pending(o *Observation, place Place) int {
	last, known := p.lastOrders[place]
	if !known || last.count < 0 || o.Now.Sub(last.at) >= o.Bounds.BootTime+retryDelay {
		return 0
	}
	return max(0, last.count-o.all(place))
}

// isRefused reports whether an order at a place was refused a short time ago.
func (p *Planner) isRefused(o *Observation, place Place) bool {
	last, known := p.lastOrders[place]
	return known && last.count < 0 && o.Now.Sub(last.at) < retryDelay
}
