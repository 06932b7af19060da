package autoscale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/fleetconfig"
)

var bounds = &fleetconfig.Autoscale{
	MinPerDomain: 1, MaxPerDomain: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.22,
	DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
}

// fakeCloud is a simulated cloud: orders take effect after the boot time, and
// reclaimable upstreams of a domain are reclaimed together and then unavailable
// for a while.
type fakeCloud struct {
	planner            *Planner
	now                time.Time
	live               map[Place]int
	pending            map[Place]pendingOrder
	noReclaimableUntil time.Time
	lateShare          float64
	median             float64
}

type pendingOrder struct {
	count int
	at    time.Time
}

func newFakeCloud(live map[Place]int) *fakeCloud {
	return &fakeCloud{planner: NewPlanner(), now: time.Unix(1000, 0), live: live, pending: map[Place]pendingOrder{}}
}

func (c *fakeCloud) total() int {
	n := 0
	for _, count := range c.live {
		n += count
	}
	return n
}

// run advances the clock in steps of half a second.
func (c *fakeCloud) run(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); c.now = c.now.Add(500 * time.Millisecond) {
		for place, next := range c.pending {
			if !c.now.Before(next.at) {
				c.live[place] = next.count
				delete(c.pending, place)
			}
		}
		live := map[Place]int{}
		for place, count := range c.live {
			if count > 0 {
				live[place] = count
			}
		}
		orders := c.planner.Plan(&Observation{Bounds: bounds, Live: live, LateShare: c.lateShare, Median: c.median, Requests: 100, Now: c.now})
		for _, o := range orders {
			switch {
			case o.Kind == Reclaimable && c.now.Before(c.noReclaimableUntil):
				c.planner.RecordRefusal(o, c.now)
			case o.Count < c.live[o.Place]:
				c.live[o.Place] = o.Count
			default:
				c.pending[o.Place] = pendingOrder{o.Count, c.now.Add(bounds.BootTime)}
			}
		}
	}
}

// reclaim removes the reclaimable upstreams of a domain and makes all reclaimable
// ones unavailable for 14 s.
func (c *fakeCloud) reclaim(domain string) {
	delete(c.live, Place{domain, Reclaimable})
	delete(c.pending, Place{domain, Reclaimable})
	c.noReclaimableUntil = c.now.Add(14 * time.Second)
}

func threePerDomain() map[Place]int {
	return map[Place]int{{"a", OnDemand}: 3, {"b", OnDemand}: 3, {"c", OnDemand}: 3}
}

// Guards against orders while a deployment starts and its upstreams appear one
// after the other: the few that were live first became the target.
func TestPlannerSendsNoOrdersDuringStartup(t *testing.T) {
	c := newFakeCloud(map[Place]int{{"a", OnDemand}: 1})
	c.run(2 * time.Second)
	c.live = threePerDomain()
	c.run(4 * time.Second)
	assert.Equal(t, c.planner.Target(), 9)
}

// Guards against paying for on-demand upstreams all the time, and against a
// service that depends on reclaimable ones alone.
func TestMixesKinds(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare = 0.05
	c.run(30 * time.Second)
	onDemand, reclaimable := 0, 0
	for place, count := range c.live {
		if place.Kind == OnDemand {
			onDemand += count
		} else {
			reclaimable += count
		}
	}
	assert.Assert(t, onDemand >= 4 && onDemand <= 5, "%v", c.live)
	assert.Assert(t, reclaimable >= 9, "%v", c.live)
}

// All reclaimable upstreams of two failure domains are reclaimed within seconds,
// and none are available meanwhile. Guards against a service that stays below what
// the load needs until they return.
func TestReplacesReclaimedDomains(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare = 0.05
	c.run(30 * time.Second)
	c.reclaim("a")
	c.run(time.Second)
	assert.Assert(t, c.total() >= 9, "after one domain %v", c.live)
	c.reclaim("b")
	c.run(6 * time.Second)
	assert.Assert(t, c.total() >= 9, "after two domains %v", c.live)
	c.run(30 * time.Second)
	onDemand := c.live[Place{"a", OnDemand}] + c.live[Place{"b", OnDemand}] + c.live[Place{"c", OnDemand}]
	assert.Assert(t, onDemand <= 5, "the substitutes for reclaimable upstreams were not released: %v", c.live)
}

// A version move replaces all upstreams, including reclaimable ones, by on-demand
// ones, and then no reclaimable ones are available for a while. Guards against
// paying for all of these instead of those that the load needs.
func TestReleasesSurplusAfterVersionMove(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare = 0.05
	c.run(30 * time.Second)
	c.noReclaimableUntil = c.now.Add(30 * time.Second)
	c.live = map[Place]int{{"a", OnDemand}: 5, {"b", OnDemand}: 5, {"c", OnDemand}: 5}
	c.pending = map[Place]pendingOrder{}
	c.run(6 * time.Second)
	assert.Equal(t, c.total(), 9, "%v", c.live)
}

// Guards against a service that does not grow while callers wait, or shrinks to a
// tiny one while they do not.
func TestTargetFollowsLatency(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.run(10 * time.Second)
	initial := c.planner.Target()
	c.lateShare, c.median = 0.4, 0.9
	c.run(12 * time.Second)
	assert.Assert(t, c.planner.Target() > initial, "target %d after %d", c.planner.Target(), initial)
	c.lateShare, c.median = 0, 0.2
	c.run(5 * time.Minute)
	assert.Equal(t, c.planner.Target(), 8, "the smallest target for 9 initial upstreams")
}

// Guards against a service that grows with each change of the holder: a holder
// intentionally orders more than the load needs, and the next holder treated that
// number as what the load needs.
func TestNewHolderDoesNotGrowTheService(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare = 0.05
	c.run(30 * time.Second)
	for range 5 {
		c.planner = NewPlanner()
		c.run(20 * time.Second)
	}
	assert.Assert(t, c.planner.Target() <= 10 && c.total() <= 15, "target %d, %v", c.planner.Target(), c.live)
}

// All daemons crash while the reclaimable upstreams of two domains are gone.
// Guards against a new holder that treats the remaining upstreams as all that the
// load needs.
func TestResumedPlannerKeepsTarget(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare = 0.05
	c.run(30 * time.Second)
	target, initial := c.planner.target, c.planner.initial
	c.reclaim("a")
	c.reclaim("b")
	c.planner = ResumePlanner(target, initial, c.now)
	c.run(6 * time.Second)
	assert.Assert(t, c.total() >= 9, "%v", c.live)
}

// Two of nine upstreams are slow, so that a fifth of the requests is late. Guards
// against ordering more upstreams, which does not help.
func TestSlowUpstreamsDoNotGrowTheService(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare, c.median = 0.2, 0.25
	c.run(60 * time.Second)
	assert.Equal(t, c.planner.Target(), 9)
}

// Guards against a service that does not grow while a quarter of the requests is
// late and the rest are slow too.
func TestGrowsBeforeTheMedianIsLate(t *testing.T) {
	c := newFakeCloud(threePerDomain())
	c.lateShare, c.median = 0.25, 0.4
	c.run(20 * time.Second)
	assert.Assert(t, c.planner.Target() > 9, "%d", c.planner.Target())
}

// Guards against orders outside the platform's bounds.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner()
		now := time.Unix(1000, 0)
		for range 60 {
			o := &Observation{Bounds: bounds, Live: map[Place]int{}, Now: now}
			for _, domain := range []string{"a", "b", "c"} {
				o.Live[Place{domain, OnDemand}] = rapid.IntRange(0, 6).Draw(t, "onDemand")
				o.Live[Place{domain, Reclaimable}] = rapid.IntRange(0, 6).Draw(t, "reclaimable")
			}
			o.LateShare, o.Median = rapid.Float64Range(0, 1).Draw(t, "late"), rapid.Float64Range(0, 3).Draw(t, "median")
			o.Requests = rapid.IntRange(0, 100).Draw(t, "requests")
			for _, order := range p.Plan(o) {
				assert.Assert(t, order.Count >= 0 && order.Count <= bounds.MaxPerDomain, "%v", order)
				if rapid.Bool().Draw(t, "refused") {
					p.RecordRefusal(order, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}
