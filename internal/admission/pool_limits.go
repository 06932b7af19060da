package admission

import "time"

// free reports whether another request may start.
func (p *pool) free() bool {
	return p.inFlight < p.limit.current() && (p.work == nil || p.work.free())
}

// tick brings the limits up to date.
func (p *pool) tick(now time.Time) {
	p.limit.tick(now)
	if p.work != nil {
		p.work.tick(p.unanswered.age(now), now)
	}
}

// lookEvery is how often the limits are looked at while requests wait.
func (p *pool) lookEvery() time.Duration {
	if p.work != nil {
		return workEvery
	}
	return limitWindow
}

// upstreams takes over the number of usable upstreams.
func (p *pool) upstreams(n int) {
	p.limit.upstreams(n)
	if p.work != nil {
		p.work.pool(n)
	}
}

// startBy returns when a request must start for its first answer to be on time.
func (p *pool) startBy(r *Request) time.Time {
	return r.FirstBy.Add(-time.Duration(startMargin * float64(r.FirstTarget)))
}
