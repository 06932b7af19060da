package routing

import (
	"math"
	"time"
)

const (
	// horizonFactor is the ratio of the age at which a report is forgotten to that at which it
	// counts half: its weight is the square of the share of the horizon that is left.
	horizonFactor = 2 + math.Sqrt2
	// perPaceHorizon is the reciprocal of the horizon of a reported pace in seconds.
	perPaceHorizon = 1e9 / (float64(paceHalfAge) * horizonFactor)
)

// estimator estimates the load and the pace of the upstreams of a pool at one moment.
type estimator struct {
	now time.Duration
	// hold is the time for which a request holds a slot, and service the part of the time to
	// the first answer that does not depend on the prompt, in seconds at the usual pace.
	hold, service float64
	// added is the growth of the time to the first answer with each request that is not yet
	// reported, without that of the wait for a slot.
	added float64
	// running is the growth of the time to the first answer with each running request.
	running float64
	// arrivalsPerRunning is the rate at which requests arrive for each that holds a slot.
	arrivalsPerRunning float64
	// meanShare and meanPace are those of the pool.
	meanShare, meanPace float64
	// perLoadHorizon is the reciprocal of the horizon of a reported load in seconds.
	perLoadHorizon float64
	// unknown stands for the report of an upstream without one.
	unknown reportedState
}

// estimate sets the fields of a candidate that depend on its slots and its pace. It uses few
// divisions, as it is called for each candidate of each request.
func (e *estimator) estimate(s *upstreamState, c *Candidate) {
	reported, age, loadWeight, paceWeight := &s.reported, time.Duration(math.MaxInt64), 0.0, 0.0
	unreported := e.hold
	if reported.slots > 0 {
		age = e.now - reported.takenAt
		if age < 0 {
			age = 0
		}
		seconds := float64(age) * 1e-9
		if since := seconds + reportDelay.Seconds(); since < unreported {
			unreported = since
		}
		if left := 1 - seconds*e.perLoadHorizon; left > 0 {
			loadWeight = left * left
		}
		if left := 1 - seconds*perPaceHorizon; left > 0 {
			paceWeight = left * left
		}
	} else {
		reported = &e.unknown
	}
	slots := reported.slots
	occupancy := e.meanShare * slots
	occupancy += loadWeight*(reported.occupancy-occupancy) + float64(s.reported.sentSince)
	if own := float64(s.inFlight); occupancy < own {
		occupancy = own
	}
	c.Slots, c.StateAge = int(slots+0.5), age
	c.Pace = e.meanPace + paceWeight*(reported.pace-e.meanPace)
	c.Slowness, c.Speed = s.lastingSlowness(e.now)
	c.Running, c.Waiting = occupancy, 0
	if occupancy > slots {
		c.Running, c.Waiting = slots, occupancy-slots
	}
	// The wait of a request that finds n others in excess of the free slots is n times the
	// time in which a slot becomes free. The start of the wait is smoothed over the width, as the
	// number of requests is not known exactly.
	excess := occupancy + 1 - slots
	width := sharpWait + (1-loadWeight)*staleWaitShare*slots
	c.OwnUnreported = s.reported.sentSince
	c.Unreported = c.Running * e.arrivalsPerRunning * unreported
	distance, ahead, growth := excess, excess, 1.0
	if excess < 0 {
		distance, ahead, growth = -excess, 0, 0
	}
	half := 0.5 * width
	near := half / (distance + half)
	ahead += half * near
	perSlot := e.hold * reported.slotTime
	c.WaitSeconds = e.service + e.running*c.Running + perSlot*ahead
	c.AddedSeconds = e.added + perSlot
	if e.service == 0 {
		// The growth is 0.5 where the excess is 0.
		c.AddedSeconds = e.added + perSlot*(growth+(0.5-growth)*near*near)
	}
}
