package admission

import "time"

// late reports whether a request that starts now would miss its deadline.
func late(r *Request, service time.Duration, now time.Time) bool {
	return !r.Deadline.IsZero() && now.Add(service).After(r.Deadline)
}

// sweep removes and returns the waiting requests that will not start in time,
// at most once per window. The expectations at their arrival may have been too
// low, or there were none; refusing them now leaves their callers time to go
// elsewhere.
func (p *pool) sweep(now time.Time) []*waiter {
	if p.waiting == 0 || p.meanTotal == 0 || p.meanCost == 0 || now.Sub(p.sweptAt) < limitWindow {
		return nil
	}
	p.sweptAt = now
	var shed []*waiter
	for _, q := range p.classes {
		if q.waiting == 0 {
			continue
		}
		above := 0.0
		for _, other := range p.classes {
			if other.priority > q.priority {
				above += other.cost()
			}
		}
		shed = append(shed, p.sweepClass(q, above, now)...)
	}
	for _, w := range shed {
		p.remove(w)
	}
	return shed
}

// sweepClass returns the waiters of a class that will not start in time when
// work of this cost goes before the class. Those that are returned do not count
// as work before the others.
func (p *pool) sweepClass(q *classQueue, above float64, now time.Time) []*waiter {
	shares := newFairShares(q)
	var shed []*waiter
	for _, ws := range q.ring {
		own := 0.0
		for _, w := range ws.waiters {
			cost := w.req.cost()
			wait := p.waitBehind(above + own + shares.before(ws.cost, own+max(cost, quantum)))
			if late(&w.req, wait+p.expectedService(&w.req), now) {
				w.refusedBy, w.retryAfter = RuleShed, p.advise(wait)
				shed = append(shed, w)
				continue
			}
			own += cost
		}
	}
	return shed
}
