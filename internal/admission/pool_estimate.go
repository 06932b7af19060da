package admission

import "time"

// expectedServiceTime estimates the time from dispatch to the end of a request.
// At least that time must remain before the deadline when the request starts.
// The result is 0 when there is no data. A request that costs less than the mean
// takes proportionally less.
func (p *pool) expectedServiceTime(r *Request) time.Duration {
	s := p.serviceTimes[r.Class]
	if s == nil || p.meanCost == 0 {
		return 0
	}
	scale := min(1, r.cost()/p.meanCost)
	return time.Duration((s.upperBound()*scale + p.delay.upperBound()) * float64(time.Second))
}

// expectedWait estimates the time in the queue from the work that starts before
// the request and the throughput. By Little's law, the throughput is the limit
// divided by the mean total time.
func (p *pool) expectedWait(q *classQueue, r *Request, now time.Time) time.Duration {
	if p.meanTotal == 0 || p.meanCost == 0 {
		return 0
	}
	before := 0.0
	if !r.isReturning {
		before = q.costBefore(r.Workspace, r.cost())
	}
	for _, other := range p.classes {
		if other != q && other.priority > r.Priority {
			before += other.cost()
		}
	}
	if p.isRanked(now) {
		return p.rankedWait(r, before, now)
	}
	return p.waitForWork(before)
}

// waitForWork estimates the time until work of this cost has started. Open
// attempts beyond the limit must end first.
func (p *pool) waitForWork(cost float64) time.Duration {
	if p.workLimit != nil {
		return p.workLimit.waitForWork(cost)
	}
	requests := cost/p.meanCost + max(0, float64(p.inFlight)-p.limit.value)
	return time.Duration(requests * p.meanTotal / max(1, p.limit.value) * float64(time.Second))
}

func (p *pool) clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, p.minRetryAfter), maxRetryAfter)
}
