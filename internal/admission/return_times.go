package admission

import "time"

const (
	// returnPeriod is the period in which each request has one moment to which Retry-After
	// points, determined by the hash of its content: 0.25 s for the most urgent priority, and
	// twice as long for each less urgent one up to maxReturnPeriod. Callers of the whole
	// fleet are spread over it without messages, and each daemon recognizes the callers that
	// return at their moment.
	returnPeriod    = 250 * time.Millisecond
	maxReturnPeriod = time.Second
	// minReturnDelay is the shortest delay of a caller whose deadline does not allow the delay
	// until its turn.
	minReturnDelay = 150 * time.Millisecond
	// returnEarly and returnLate bound the time before and after that moment in which a
	// request counts as returning at its moment. Delays are rounded up to 10 ms, and the clocks of
	// daemons differ by some milliseconds.
	returnEarly = 10 * time.Millisecond
	returnLate  = 40 * time.Millisecond
	// returnDeadlineShare is the share of the remaining time that callers wait at most.
	returnDeadlineShare = 1.0 / 3
	// returnsExpiry is how long after a refusal callers are expected to return.
	returnsExpiry = 5 * time.Second
	// maxReturnsReserve bounds the part of the room of a priority that is kept for callers
	// that return.
	maxReturnsReserve = 0.5
)

// returnTimes determines when refused callers are to return. The daemons of a fleet do so
// independently, each for its part of the room.
type returnTimes struct {
	// next is the time at which the room of a priority returns for the next caller.
	next      [rankCount]time.Time
	refusedAt time.Time
	// demand is the work of callers that return at their moment, by priority.
	demand [rankCount]decayingRate
}

// returnMoment returns the first moment of a request at or after a time of the fleet's clock.
func returnMoment(key uint64, period time.Duration, at time.Time) time.Time {
	offset := time.Duration(key % uint64(period))
	since := (time.Duration(at.UnixNano()%int64(period)) - offset + period) % period
	return at.Add((period - since) % period)
}

// isReturnMoment reports whether a request that arrives at a time of the fleet's clock comes
// at its moment.
func isReturnMoment(key uint64, period time.Duration, at time.Time) bool {
	from := at.Add(-returnLate)
	return returnMoment(key, period, from).Sub(from) <= returnLate+returnEarly
}

// delay returns the time after which the caller of a refused request is to return. wait is
// the time until there is room, and rate the work per second that the request's priority
// gets at this daemon.
func (t *returnTimes) delay(r *Request, period, wait time.Duration, rate float64, fleetNow, now time.Time) time.Duration {
	t.refusedAt = now
	rank := rankOf(r)
	at := now.Add(wait)
	if at.Before(t.next[rank]) {
		at = t.next[rank]
	}
	limit := maxRetryAfter
	if !r.Deadline.IsZero() {
		limit = min(limit, time.Duration(returnDeadlineShare*float64(r.Deadline.Sub(now))))
	}
	if rate > 0 && at.Sub(now) < limit {
		t.next[rank] = at.Add(time.Duration(r.cost() / rate * float64(time.Second)))
	}
	delay := at.Sub(now)
	if r.Key != nil {
		delay = returnMoment(r.Key(), period, fleetNow.Add(delay)).Sub(fleetNow)
		for delay > limit && delay-period > minReturnDelay {
			delay -= period
		}
	}
	return max(0, min(delay, limit))
}

// recordArrival sets Request.isReturning. The key of a request costs a hash of its body, so
// it is computed only while callers are expected to return.
func (t *returnTimes) recordArrival(r *Request, period time.Duration, fleetNow, now time.Time) {
	if r.Key == nil || t.refusedAt.IsZero() || now.Sub(t.refusedAt) > returnsExpiry {
		return
	}
	if r.isReturning = isReturnMoment(r.Key(), period, fleetNow); r.isReturning {
		t.demand[rankOf(r)].add(r.cost(), demandTimeConstant, now)
	}
}

// reserve returns the part of the room of a priority that is kept for callers that return.
func (t *returnTimes) reserve(rank int, capacity float64, now time.Time) float64 {
	if capacity <= 0 {
		return 0
	}
	return min(maxReturnsReserve, reserveMargin*t.demand[rank].at(demandTimeConstant, now)/capacity)
}
