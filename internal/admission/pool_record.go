package admission

import "time"

// recordEnd records the outcome of an attempt and releases its slot.
func (p *pool) recordEnd(r *Request, o Outcome, now time.Time) {
	p.limit.recordEnd(r, o, p.inFlight, now)
	if p.workLimit != nil && !o.FirstReported {
		latency := o.FirstLatency
		if !o.OK {
			latency = 0
		}
		p.recordRankAnswer(r, latency, now)
		p.workLimit.recordFirstAnswer(r.cost(), r.FirstTarget, latency, now)
	}
	p.release(o.FirstReported)
	if !o.OK || o.Total <= 0 {
		return
	}
	delay := delayBeyondTarget(r, o.FirstLatency)
	if p.isOutdated(delay, now.Add(-o.Total)) {
		return
	}
	if !o.FirstReported {
		p.delay.observe(delay.Seconds(), delayWeight)
	}
	total := (o.Total - delay).Seconds()
	p.meanTotal = updateMean(p.meanTotal, total)
	p.meanCost = updateMean(p.meanCost, r.cost())
	s := p.serviceTimes[r.Class]
	if s == nil {
		s = &durationEstimate{}
		p.serviceTimes[r.Class] = s
	}
	s.observe(total, meanWeight)
}

// cancelGrant releases the slot of a request that was granted but not sent.
func (p *pool) cancelGrant(r *Request, answered bool, now time.Time) {
	if p.workLimit != nil {
		p.recordRankAnswer(r, 0, now)
		p.workLimit.recordFirstAnswer(r.cost(), r.FirstTarget, 0, now)
	}
	p.release(answered)
}

// release releases a concurrency slot. answered reports whether the attempt had
// a first token.
func (p *pool) release(answered bool) {
	p.inFlight--
	if !answered {
		p.unanswered.popOldest()
	}
}

// applyReport adapts the limit to the load that the upstreams report together.
func (p *pool) applyReport(running, waiting int, now time.Time) {
	if p.unanswered.oldestAge(now) < minQueueDelay {
		waiting = 0
	}
	p.limit.applyReport(running, waiting, p.inFlight, now)
}

// recordFirstToken adds the time to the first token of an open attempt.
func (p *pool) recordFirstToken(r *Request, first time.Duration, now time.Time) {
	p.unanswered.popOldest()
	if p.workLimit != nil {
		p.recordRankAnswer(r, first, now)
		p.workLimit.recordFirstAnswer(r.cost(), r.FirstTarget, first, now)
	}
	p.limit.recordFirst(r, first, p.inFlight, now)
	if delay := delayBeyondTarget(r, first); !p.isOutdated(delay, now.Add(-first)) {
		p.delay.observe(delay.Seconds(), delayWeight)
	}
}

// isOutdated reports whether the delay of an attempt says nothing about later
// requests: a queue at the upstreams delayed it, and the limit has been lowered
// because of a queue since the attempt was sent. If such delays counted, a burst
// whose first attempts waited for 4 s at the upstreams would cause all its other
// requests to be refused although they could be answered in time.
func (p *pool) isOutdated(delay time.Duration, sent time.Time) bool {
	return delay > 0 && sent.Before(p.limit.loweredAt)
}

// delayBeyondTarget returns the time by which the first token exceeded its
// target.
func delayBeyondTarget(r *Request, first time.Duration) time.Duration {
	if r.FirstTarget <= 0 {
		return 0
	}
	return max(0, first-r.FirstTarget)
}

// updateMean returns the running mean after a new value; a mean of 0 is not set
// yet.
func updateMean(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + meanWeight*(value-mean)
}
