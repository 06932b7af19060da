package autoscale

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// moveStep is an event in a scenario.
type moveStep struct {
	at    time.Duration
	event func(*moveCloud)
}

const (
	// takeoverTime is the time without a holder of the duties after one was lost.
	takeoverTime = 2 * time.Second
	// planStep is the time between two passes of a holder.
	planStep = 500 * time.Millisecond
	// maxMoveUpstreams bounds the upstreams during a move: those of two moves in turn with 14
	// each, the old ones, and what a burst adds.
	maxMoveUpstreams = 3*14 + testNeed
)

// moveScenarios are the moments at which capacity is lost or needed during a move. In each, the
// serving version must have what it needs at until, which is before the losing version has left
// or the move has ended.
var moveScenarios = map[string]struct {
	steps  []moveStep
	until  time.Duration
	serves string
	need   int
}{
	"domains reclaimed during a move": {
		[]moveStep{{0, (*moveCloud).beginMove}, {3 * time.Second, reclaimTwo}}, 16 * time.Second, "v1", testNeed,
	},
	"domains reclaimed right after the order": {
		[]moveStep{{0, func(c *moveCloud) { c.beginMove(); reclaimTwo(c) }}}, 14 * time.Second, "v1", testNeed,
	},
	"move ordered while another is in progress": {
		[]moveStep{
			{0, (*moveCloud).beginMove}, {3 * time.Second, func(c *moveCloud) { c.beginMoveTo("v3") }}, {4 * time.Second, reclaimTwo},
		}, 19 * time.Second, "v1", testNeed,
	},
	"move ordered right after a rollback": {
		[]moveStep{
			{0, (*moveCloud).beginMove}, {4 * time.Second, func(c *moveCloud) { reclaimTwo(c); c.rollBack() }},
			{5 * time.Second, func(c *moveCloud) { c.beginMoveTo("v3") }},
		}, 19 * time.Second, "v1", testNeed,
	},
	"burst during a move": {
		[]moveStep{{0, (*moveCloud).beginMove}, {4 * time.Second, beginBurst}}, 15 * time.Second, "v1", 15,
	},
	"burst right after the switch": {
		[]moveStep{
			{0, (*moveCloud).beginMove}, {6 * time.Second, func(c *moveCloud) {
				old := c.live("v1")
				c.complete()
				c.showStopped(old)
				beginBurst(c)
			}},
		}, 15500 * time.Millisecond, "v2", 15,
	},
	"new version loses upstreams": {
		[]moveStep{
			{0, func(c *moveCloud) { c.startsNext = true }}, {0, (*moveCloud).beginMove}, {3 * time.Second, func(c *moveCloud) {
				lost := 0
				c.remove(func(u cloudUpstream) bool {
					lost++
					return u.version == "v2" && lost%4 > 0
				})
			}},
		}, 16 * time.Second, "v2", testNeed,
	},
}

func reclaimTwo(c *moveCloud) {
	c.reclaim("a")
	c.reclaim("b")
}

// beginBurst begins a burst of 6 s.
func beginBurst(c *moveCloud) { c.burstUntil = c.now.Add(6 * time.Second) }

// Guards against a service that lacks upstreams when a domain is reclaimed, a burst comes or
// another move is ordered during a move or right after it, with the holder of the duties lost
// at any moment, and against a holder that removes upstreams or orders them twice.
func TestCapacityInMoveScenarios(t *testing.T) {
	for name, s := range moveScenarios {
		for lostAt := -planStep; lostAt < s.until-takeoverTime; lostAt += planStep {
			t.Run(fmt.Sprintf("%s, holder lost at %s", name, lostAt), func(t *testing.T) {
				cloud := newMoveCloud(t)
				steps := s.steps
				for at := time.Duration(0); at < s.until; at += planStep {
					for len(steps) > 0 && at >= steps[0].at {
						steps[0].event(cloud)
						steps = steps[1:]
					}
					switch at {
					case lostAt:
						cloud.paused = true
					case lostAt + takeoverTime:
						cloud.paused = false
						cloud.planner = ResumePlanner(cloud.planner.target, cloud.planner.initial, cloud.now)
					}
					cloud.run(planStep)
					assert.Assert(t, len(cloud.upstreams) <= maxMoveUpstreams, "%d upstreams at %s", len(cloud.upstreams), at)
				}
				cloud.assertNothingRemoved()
				assert.Assert(t, cloud.live(s.serves) >= s.need, "%d upstreams of %s", cloud.live(s.serves), s.serves)
			})
		}
	}
}
