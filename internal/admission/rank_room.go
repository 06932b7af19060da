package admission

import (
	"math"
	"time"
)

// ownWeightRequests is the number of outstanding requests at which a daemon gives equal
// weight to its own outstanding work and to its part of the fleet's.
const ownWeightRequests = 2

// rankRoom is what a decision on a request depends on: the limit of outstanding work and
// the throughput that belong to this daemon, in tokens and tokens per second, and the
// factor from the demand of the fleet to that of this daemon.
type rankRoom struct {
	value, capacity float64
	// fleetShare is 0 if the daemon's own figures apply.
	fleetShare float64
	// constant is the part of value that is outstanding because of delays that do not depend
	// on the load.
	constant float64
	// isQuick reports whether the shortest target is below quickTarget.
	isQuick bool
}

// room returns the room by the figures of the fleet, or by the daemon's own if those of the
// fleet are old or contradicted by what this daemon sees.
func (l *rankLimit) room(w *workLimit, now time.Time) rankRoom {
	if !l.fleet.isFresh(now) {
		return rankRoom{value: w.value, capacity: w.capacity}
	}
	share := l.fleet.share(l.totalDemand(now))
	target := l.shortestTarget(now)
	window := l.fleet.window(target, w.upstreams, l.meanCost)
	relief, isQuick := l.fleet.relief(window), target < quickTarget
	if !isQuick {
		return rankRoom{value: window * share * relief, capacity: l.fleet.capacity * share, fleetShare: share, constant: l.fleet.constant * share}
	}
	// The part of a daemon may be less than one request. While the fleet has room, each
	// daemon may have some requests more.
	value := window*share*math.Sqrt(relief) + (relief-1)*l.meanCost
	return rankRoom{value: value, capacity: l.fleet.capacity * share, fleetShare: share, constant: l.fleet.constant * share, isQuick: isQuick}
}

// urgentDemand returns the demand, in tokens per second, of priorities above rank.
func (l *rankLimit) urgentDemand(rank int, room *rankRoom, now time.Time) float64 {
	if room.fleetShare > 0 {
		return l.fleet.load.DemandAbove(rank) * room.fleetShare
	}
	sum := 0.0
	for i := rank + 1; i < rankCount; i++ {
		sum += l.demand[i].at(demandTimeConstant, now)
	}
	return sum
}

// remainingShare returns the share of the pool that is left for a priority when more
// urgent ones get what they need.
func (l *rankLimit) remainingShare(rank int, room *rankRoom, now time.Time) float64 {
	if room.capacity <= 0 {
		return 1
	}
	return max(0, 1-reserveMargin*l.urgentDemand(rank, room, now)/room.capacity)
}

// excess returns the work that must be answered before a request may start; 0 when it
// may start now.
func (l *rankLimit) excess(r *Request, w *workLimit, now time.Time) float64 {
	room := l.room(w, now)
	if w.outstanding == 0 && room.fleetShare == 0 || math.IsInf(room.value, 1) {
		return 0
	}
	rank, bound := rankOf(r), room.value
	if !l.isLowest(rank, now) {
		bound = max(bound, drainRatio*r.FirstTarget.Seconds()*room.capacity)
	}
	// The work that is outstanding because of constant delays is that of slow classes.
	constant := min(bound, room.constant)
	left := constant + (bound-constant)*l.remainingShare(rank, &room, now)
	if !r.isReturning {
		left *= 1 - l.returns.reserve(rank, room.capacity, now)
	}
	upTo, total := 0.0, 0.0
	for i := range l.outstanding {
		outstanding := l.estimatedOutstanding(i, &room)
		total += outstanding
		if i <= rank {
			upTo += outstanding
		}
	}
	return max(0, total-bound, upTo-left)
}

// estimatedOutstanding returns the outstanding work of a priority that counts against this
// daemon's room. The fleet's figures are some hundred milliseconds old but precise; its own
// are current, but a single large request that happens to be its own delays others no more
// than those of other daemons. The fewer requests a daemon has, the less its own count.
func (l *rankLimit) estimatedOutstanding(rank int, room *rankRoom) float64 {
	own := l.outstanding[rank]
	if room.fleetShare <= 0 {
		return own
	}
	part := l.fleet.load.Ranks[rank].Outstanding * room.fleetShare
	weight := part / (part + ownWeightRequests*max(1, l.meanCosts[rank]))
	if room.isQuick {
		weight = 1
	}
	return part + weight*(own-part)
}

// totalDemand returns the demand of all priorities.
func (l *rankLimit) totalDemand(now time.Time) float64 {
	sum := 0.0
	for i := range l.demand {
		sum += l.demand[i].at(demandTimeConstant, now)
	}
	return sum
}

// shortestTarget returns the shortest target of the priorities that are present.
func (l *rankLimit) shortestTarget(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for i, target := range l.targets {
		if target > 0 && now.Sub(l.lastSeen[i]) < ranksExpiry && (shortest == 0 || target < shortest) {
			shortest = target
		}
	}
	return shortest
}
