package admission

import "time"

// missesDeadline reports whether a request that starts now would end after its
// deadline, given its service time.
func missesDeadline(r *Request, service time.Duration, now time.Time) bool {
	return !r.Deadline.IsZero() && now.Add(service).After(r.Deadline)
}

// isTooLate reports whether a request that starts after a wait would miss its deadline, or start
// too late for its first answer to be in time.
func (p *pool) isTooLate(r *Request, wait, service time.Duration, now time.Time) bool {
	return missesDeadline(r, wait+service, now) || !r.FirstDeadline.IsZero() && now.Add(wait).After(p.latestStart(r))
}

// shedLate removes and returns the waiting requests that will not start in
// time. It checks at most once per window. The estimates at their arrival may
// have been too low or not available; refusing the requests now leaves their
// callers time to try elsewhere.
func (p *pool) shedLate(now time.Time) []*waiter {
	if p.waiting == 0 || p.meanTotal == 0 || p.meanCost == 0 || now.Sub(p.shedAt) < limitWindow {
		return nil
	}
	p.shedAt = now
	var shed []*waiter
	for _, q := range p.classes {
		if q.waiting == 0 {
			continue
		}
		higherPriorityCost := 0.0
		for _, other := range p.classes {
			if other.priority > q.priority {
				higherPriorityCost += other.cost()
			}
		}
		shed = append(shed, p.lateWaiters(q, higherPriorityCost, now)...)
	}
	for _, w := range shed {
		p.remove(w)
	}
	return shed
}

// lateWaiters returns the waiters of a class that will not start in time when
// work of higher-priority classes starts first. The returned waiters do not
// count as work before the remaining ones.
func (p *pool) lateWaiters(q *classQueue, higherPriorityCost float64, now time.Time) []*waiter {
	shares := newFairShares(q)
	var shed []*waiter
	for _, ws := range q.ring {
		ownCost := 0.0
		for _, w := range ws.waiters {
			cost := w.req.cost()
			wait := p.waitForWork(higherPriorityCost + ownCost + shares.costBefore(ws.cost, ownCost+max(cost, quantum)))
			if missesDeadline(&w.req, wait+p.expectedServiceTime(&w.req), now) {
				w.refusedBy, w.retryAfter = RuleShed, p.returnDelay(&w.req, wait, now)
				shed = append(shed, w)
				continue
			}
			ownCost += cost
		}
	}
	return shed
}
