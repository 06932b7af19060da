package admission

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// The sources of the figures that the rule is applied to.
const (
	sourceOff   = "off"
	sourceOwn   = "own"
	sourceFleet = "fleet"
)

const (
	// limitedSpan is the time after a refusal in which a pool counts as limited, so that
	// single refusals do not cause a log line each.
	limitedSpan = 5 * time.Second
	// maxReportedRoom is the room that is reported while there is no limit.
	maxReportedRoom = 1e9
)

// poolState is how the rule applies to a pool.
type poolState struct {
	// source is sourceOff where priorities do not differ and no workspace has a quota.
	source string
	// isContradicted reports whether the figures of the fleet are ignored because they
	// contradict this daemon's own.
	isContradicted bool
	// isLimited reports whether requests are held back or refused.
	isLimited bool
}

// state returns how the rule applies to the pool.
func (p *pool) state(now time.Time) poolState {
	if !p.isRanked(now) {
		return poolState{source: sourceOff}
	}
	fleet := p.ranks.fleet
	s := poolState{source: sourceOwn, isContradicted: fleet.isContradicted}
	if fleet.isFresh(now) {
		s.source = sourceFleet
	}
	s.isLimited = p.waiting > 0 || now.Sub(p.ranks.returns.refusedAt) < limitedSpan
	return s
}

// gauges are the metrics of a pool.
type gauges struct {
	room, outstanding, capacity, fleet tally.Gauge
	demand                             [rankCount]tally.Gauge
}

func newGauges(scope tally.Scope, name string) *gauges {
	tagged := scope.Tagged(map[string]string{"pool": name})
	g := &gauges{
		room: tagged.Gauge("room"), outstanding: tagged.Gauge("outstanding"), capacity: tagged.Gauge("capacity"), fleet: tagged.Gauge("fleet_figures"),
	}
	for i := range g.demand {
		g.demand[i] = tagged.Tagged(map[string]string{"priority": strconv.Itoa(i)}).Gauge("demand")
	}
	return g
}

// update sets the metrics of a pool whose rule is in effect.
func (g *gauges) update(p *pool, s poolState, now time.Time) {
	room := p.ranks.room(p.workLimit, now)
	g.room.Update(min(room.value, maxReportedRoom))
	g.capacity.Update(room.capacity)
	g.outstanding.Update(p.workLimit.outstanding)
	fleet := 0.0
	if s.source == sourceFleet {
		fleet = 1
	}
	g.fleet.Update(fleet)
	for i := range g.demand {
		if !p.ranks.lastSeen[i].IsZero() {
			g.demand[i].Update(p.ranks.demand[i].at(demandTimeConstant, now))
		}
	}
}
