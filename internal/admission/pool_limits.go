package admission

import "time"

// hasCapacity reports whether another request may start.
func (p *pool) hasCapacity() bool {
	return p.inFlight < p.limit.current() && (p.workLimit == nil || p.workLimit.hasCapacity())
}

// tick adapts the limits to the present time.
func (p *pool) tick(now time.Time) {
	p.limit.tick(now)
	if p.workLimit != nil {
		p.workLimit.tick(p.unanswered.oldestAge(now), now)
		p.checkRanks(now)
	}
}

// tickInterval returns the interval at which the limits are adapted while
// requests wait.
func (p *pool) tickInterval() time.Duration {
	if p.workLimit != nil {
		return workLimitInterval
	}
	return limitWindow
}

// setUpstreamCount sets the number of usable upstreams.
func (p *pool) setUpstreamCount(n int) {
	p.limit.setUpstreamCount(n)
	if p.workLimit != nil {
		if p.ranks != nil && n > 0 && p.workLimit.upstreams > 0 && n != p.workLimit.upstreams {
			p.ranks.fleet.scale(float64(n) / float64(p.workLimit.upstreams))
		}
		p.workLimit.setUpstreamCount(n)
	}
}

// latestStart returns the time by which a request must start for its first
// token or answer to arrive before Request.FirstDeadline.
func (p *pool) latestStart(r *Request) time.Time {
	return r.FirstDeadline.Add(-time.Duration(minTargetShareAtStart * float64(r.FirstTarget)))
}
