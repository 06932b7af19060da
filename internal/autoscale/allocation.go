package autoscale

// allocation collects the upstreams to order within the room of the failure domains.
type allocation struct {
	// missing is the number of upstreams to order by place, and room what each failure domain
	// can take beside them.
	missing map[Place]int
	room    map[string]int
}

// add adds up to count upstreams at a place and returns how many of them had room.
func (a *allocation) add(place Place, count int) int {
	count = max(0, min(count, a.room[place.Domain]))
	if count > 0 {
		a.missing[place] += count
		a.room[place.Domain] -= count
	}
	return count
}

// spread adds up to count on-demand upstreams in turn to the failure domains.
func (a *allocation) spread(domains []string, count int) {
	for placed := true; count > 0 && placed; {
		placed = false
		for _, domain := range domains {
			if count > 0 && a.add(Place{domain, OnDemand}, 1) > 0 {
				count--
				placed = true
			}
		}
	}
}

// total returns the number of all upstreams to order.
func (a *allocation) total() int { return sum(a.missing) }
