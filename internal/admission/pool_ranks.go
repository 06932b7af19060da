package admission

import (
	"time"

	"rattantide/internal/fleetload"
)

// isRanked reports whether the work limit is divided among priorities.
func (p *pool) isRanked(now time.Time) bool { return p.ranks != nil && p.ranks.isActive(now) }

// checkRanks lowers the work limit when the answers of one priority are late.
func (p *pool) checkRanks(now time.Time) {
	if !p.isRanked(now) {
		p.workLimit.strictest = 0
		return
	}
	p.ranks.check(p.workLimit, now)
}

// mayStartAtOnce reports whether a new request may start now. Where priorities differ, it
// goes before less urgent ones that wait.
func (p *pool) mayStartAtOnce(r *Request, now time.Time) bool {
	if !p.isRanked(now) {
		return p.waiting == 0 && p.hasCapacity()
	}
	if p.ranks.isCapped(r, now) {
		return p.mayStartGuaranteed(r, now)
	}
	isFirst := true
	for _, q := range p.classes {
		if q.waiting == 0 {
			continue
		}
		if q.name == r.Class && q.workspace(r.Workspace) != nil {
			return false
		}
		isFirst = isFirst && q.priority < r.Priority
	}
	return isFirst && p.hasRankCapacity(r, now) || p.mayStartGuaranteed(r, now)
}

// hasRankCapacity reports whether a request may start without its guaranteed share.
func (p *pool) hasRankCapacity(r *Request, now time.Time) bool {
	return p.inFlight < p.limit.current() && p.ranks.excess(r, p.workLimit, now) == 0
}

// mayStartGuaranteed reports whether a request may start by its guaranteed share. More
// urgent requests may have taken all places, so that it may exceed their number.
func (p *pool) mayStartGuaranteed(r *Request, now time.Time) bool {
	return float64(p.inFlight) < guaranteedOverrun*p.limit.value && p.ranks.isGuaranteed(r, p.workLimit, now)
}

// nextRankedClass returns the class with the highest priority whose next request may
// start, or nil.
func (p *pool) nextRankedClass(now time.Time) *classQueue {
	var next *classQueue
	nextIsGuaranteed := false
	for _, q := range p.classes {
		if q.waiting == 0 {
			continue
		}
		r := &q.peek().req
		isGuaranteed := p.mayStartGuaranteed(r, now)
		if !isGuaranteed && !p.hasRankCapacity(r, now) {
			continue
		}
		if next == nil || isGuaranteed && !nextIsGuaranteed || isGuaranteed == nextIsGuaranteed && q.priority > next.priority {
			next, nextIsGuaranteed = q, isGuaranteed
		}
	}
	return next
}

// rankedWait estimates the time in the queue: the excess of outstanding work must be
// answered, and the work that waits before the request must start, with the throughput that
// more urgent arrivals leave.
func (p *pool) rankedWait(r *Request, before float64, now time.Time) time.Duration {
	if p.workLimit.capacity <= 0 {
		return 0
	}
	rank := rankOf(r)
	room := p.ranks.room(p.workLimit, now)
	left := max(guaranteedShare, p.ranks.remainingShare(rank, &room, now))
	seconds := (p.ranks.excess(r, p.workLimit, now) + before) / (room.capacity * left)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// recordRankStart records a start, which is charged to the guaranteed share if the
// request would not have started otherwise. It must be called before the request counts
// as open.
func (p *pool) recordRankStart(r *Request, now time.Time) {
	if p.ranks != nil {
		isGuaranteed := p.isRanked(now) && !p.hasRankCapacity(r, now)
		p.ranks.recordStart(r, isGuaranteed, now)
	}
}

// recordRankAnswer records the first answer or the end of a request; latency is 0 when there
// was no answer.
func (p *pool) recordRankAnswer(r *Request, latency time.Duration, now time.Time) {
	if p.ranks != nil {
		p.ranks.recordAnswer(r, latency, now)
	}
}

// isCapped reports whether the request's workspace has used up its fair share of the room of
// the fleet.
func (p *pool) isCapped(r *Request, now time.Time) bool {
	return p.isRanked(now) && p.ranks.isCapped(r, now)
}

// applyFleetLoad applies the sums of the figures of all daemons.
func (p *pool) applyFleetLoad(load *fleetload.Load, daemons int, now time.Time) {
	if p.ranks == nil {
		return
	}
	fleet := p.ranks.fleet
	fleet.update(load, daemons, &p.ranks.targets, p.ranks.shortestTarget(now), now)
	fleet.checkOwn(p.workLimit.outstanding, fleet.share(p.ranks.totalDemand(now)), p.ranks.meanCost)
}

// returnDelay returns the time after which the caller of a refused request is to return.
// wait is the expected time until it could start.
func (p *pool) returnDelay(r *Request, wait time.Duration, now time.Time) time.Duration {
	wait = p.clampRetryAfter(wait)
	if !p.isRanked(now) {
		return wait
	}
	l, rank := p.ranks, rankOf(r)
	room := l.room(p.workLimit, now)
	rate := room.capacity * max(guaranteedShare, l.remainingShare(rank, &room, now))
	return l.returns.delay(r, l.returnPeriod(rank, now), wait, rate, l.fleetTime(now), now)
}
