package autoscale

import "time"

// listDelay is the time within which the list shows that the platform has stopped the
// upstreams of the losing version. An order that still counts these would start as many
// too many.
const listDelay = time.Second

// startedVersion is the version of the upstreams that appeared after an order during a move.
// The platform does not document it.
type startedVersion int

const (
	// startedUnknown means that none has appeared yet.
	startedUnknown startedVersion = iota
	startedServing
	startedNext
)

// moveProgress is what a Planner has observed of the current move.
type moveProgress struct {
	move VersionMove
	// servingAtStart is the number of live upstreams of the serving version when the move
	// was first observed; the platform starts as many of the new version.
	servingAtStart int
	// next is the highest number of live upstreams of the new version so far, and grownAt
	// when it last rose or the move was first observed.
	next    int
	grownAt time.Time
	started startedVersion
	// orders holds what was live at the places of the orders of this move.
	orders map[Place]liveAtOrder
}

// liveAtOrder is the number of live upstreams at a place when an order was sent.
type liveAtOrder struct{ serving, next int }

// newMoveProgress returns the progress of a move that is observed for the first time.
func newMoveProgress(o *Observation) moveProgress {
	return moveProgress{move: o.Move, servingAtStart: o.total(), grownAt: o.Now, orders: map[Place]liveAtOrder{}}
}

// update records how many upstreams an observation has, and which version was started at
// the places of orders.
func (m *moveProgress) update(o *Observation) {
	if next := o.nextTotal(); next > m.next {
		m.next, m.grownAt = next, o.Now
	}
	for place, before := range m.orders {
		switch {
		case o.Live[place] > before.serving:
			m.started = startedServing
		case o.Next[place] > before.next:
			m.started = startedNext
		default:
			continue
		}
		m.orders[place] = liveAtOrder{o.Live[place], o.Next[place]}
	}
}

// isStarting reports whether upstreams that the platform starts or stops for the move may not
// be in the list yet. An order states the number of all upstreams at a place, so that the
// platform would remove those that it does not count.
func (m *moveProgress) isStarting(o *Observation) bool {
	switch {
	case m.move.Next == "":
		return m.move.IsSwitched && o.Now.Sub(m.move.EndedAt) < listDelay
	case m.next == 0:
		return o.Now.Sub(m.grownAt) < o.Bounds.BootTime+retryDelay
	case m.next >= m.servingAtStart:
		return false
	}
	return o.Now.Sub(m.grownAt) < retryDelay
}
