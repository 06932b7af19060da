package autoscale

import (
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
)

// moveBounds leave room for two versions beside each other.
var moveBounds = &fleetconfig.Autoscale{
	MinPerDomain: 1, MaxPerDomain: 20, BootTime: 4 * time.Second, ReclaimablePrice: 0.22,
	DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
}

// cloudUpstream is an upstream of a moveCloud.
type cloudUpstream struct {
	place    Place
	version  string
	liveAt   time.Time
	leavesAt time.Time
}

// moveCloud is a simulated cloud with version moves. An order states the number of upstreams
// of all versions at a place, the starting ones included; those that started last are removed
// first.
type moveCloud struct {
	t       *testing.T
	planner *Planner
	bounds  *fleetconfig.Autoscale
	now     time.Time
	move    VersionMove
	// startsNext is set if ordered upstreams get the new version during a move.
	startsNext bool
	// paused is set while nothing may be planned.
	paused             bool
	upstreams          []cloudUpstream
	noReclaimableUntil time.Time
	median, lateShare  float64
	// burstUntil is the end of a burst, in which most requests are late.
	burstUntil time.Time
	// removed counts the upstreams that orders removed during a move, and orders all orders.
	removed, orders int
}

// newMoveCloud returns a moveCloud with nine upstreams of v1 that has run for 30 s.
func newMoveCloud(t *testing.T) *moveCloud {
	c := &moveCloud{t: t, planner: NewPlanner(), bounds: moveBounds, now: time.Unix(1000, 0), lateShare: 0.05}
	for place, count := range threePerDomain() {
		c.start(place, count, "v1", c.now)
	}
	c.run(30 * time.Second)
	return c
}

// start starts upstreams.
func (c *moveCloud) start(place Place, count int, version string, liveAt time.Time) {
	for range count {
		c.upstreams = append(c.upstreams, cloudUpstream{place: place, version: version, liveAt: liveAt})
	}
}

// live returns the number of live upstreams of a version.
func (c *moveCloud) live(version string) int {
	n := 0
	for _, u := range c.upstreams {
		if u.version == version && !c.now.Before(u.liveAt) {
			n++
		}
	}
	return n
}

// beginMove orders a move to v2.
func (c *moveCloud) beginMove() { c.beginMoveTo("v2") }

// beginMoveTo orders a move: as many on-demand upstreams start as serve, which the list shows
// after a while. The upstreams of a move that was in progress leave after 3 s.
func (c *moveCloud) beginMoveTo(version string) {
	c.leave(c.move.Next)
	c.move = VersionMove{Serving: "v1", Next: version}
	domains := []string{"a", "b", "c"}
	for i := range c.live("v1") {
		c.start(Place{domains[i%3], OnDemand}, 1, version, c.now.Add(300*time.Millisecond))
	}
}

// leave makes the upstreams of a version leave after 3 s.
func (c *moveCloud) leave(version string) {
	for i := range c.upstreams {
		if c.upstreams[i].version == version {
			c.upstreams[i].leavesAt = c.now.Add(3 * time.Second)
		}
	}
}

// complete ends the move with the new version: the upstreams of the other stop at once.
func (c *moveCloud) complete() {
	next := c.move.Next
	c.move = VersionMove{Serving: next, IsSwitched: true, EndedAt: c.now}
	c.upstreams = slices.DeleteFunc(c.upstreams, func(u cloudUpstream) bool { return u.version != next })
}

// showStopped makes the list show stopped upstreams for 10 s longer.
func (c *moveCloud) showStopped(count int) {
	c.start(Place{"a", OnDemand}, count, "v1", c.now)
	for i := range c.upstreams {
		if c.upstreams[i].version == "v1" {
			c.upstreams[i].leavesAt = c.now.Add(10 * time.Second)
		}
	}
}

// rollBack ends the move with the old version: the upstreams of the new one leave after 3 s.
func (c *moveCloud) rollBack() {
	c.leave(c.move.Next)
	c.move = VersionMove{Serving: "v1", EndedAt: c.now}
}

// reclaim removes the reclaimable upstreams of a domain and makes all reclaimable ones
// unavailable for 14 s.
func (c *moveCloud) reclaim(domain string) {
	c.remove(func(u cloudUpstream) bool { return u.place == Place{domain, Reclaimable} })
	c.noReclaimableUntil = c.now.Add(14 * time.Second)
}

func (c *moveCloud) remove(isRemoved func(cloudUpstream) bool) {
	c.upstreams = slices.DeleteFunc(c.upstreams, isRemoved)
}

// run advances the clock in steps of half a second.
func (c *moveCloud) run(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); c.now = c.now.Add(500 * time.Millisecond) {
		c.remove(func(u cloudUpstream) bool { return !u.leavesAt.IsZero() && !c.now.Before(u.leavesAt) })
		if !c.move.EndedAt.IsZero() && c.live(c.move.Serving) == len(c.upstreams) {
			c.move = VersionMove{}
		}
		if c.paused {
			continue
		}
		for _, o := range c.planner.Plan(c.observe()) {
			c.apply(o)
		}
	}
}

// observe returns what a Controller would observe.
func (c *moveCloud) observe() *Observation {
	o := &Observation{
		Bounds: c.bounds, Live: map[Place]int{}, Next: map[Place]int{}, Others: map[Place]int{}, Move: c.move,
		Median: c.median, LateShare: c.lateShare, Requests: 100, Now: c.now,
	}
	if c.now.Before(c.burstUntil) {
		o.Median, o.LateShare = 0.9, 0.4
	}
	for _, u := range c.upstreams {
		switch {
		case c.now.Before(u.liveAt):
		case !c.move.isActive() || u.version == c.move.Serving:
			o.Live[u.place]++
		default:
			o.Others[u.place]++
			if u.version == c.move.Next {
				o.Next[u.place]++
			}
		}
	}
	return o
}

// apply carries out an order.
func (c *moveCloud) apply(o Order) {
	c.orders++
	var there []int
	for i, u := range c.upstreams {
		if u.place == o.Place {
			there = append(there, i)
		}
	}
	if o.Kind == Reclaimable && c.now.Before(c.noReclaimableUntil) && o.Count > len(there) {
		c.planner.RecordRefusal(o, c.now)
		return
	}
	c.start(o.Place, o.Count-len(there), c.orderedVersion(), c.now.Add(c.bounds.BootTime))
	if o.Count >= len(there) {
		return
	}
	sort.SliceStable(there, func(i, j int) bool { return c.upstreams[there[i]].liveAt.After(c.upstreams[there[j]].liveAt) })
	if c.move.isActive() {
		c.removed += len(there) - o.Count
	}
	gone := there[:len(there)-o.Count]
	sort.Sort(sort.Reverse(sort.IntSlice(gone)))
	for _, i := range gone {
		c.upstreams = slices.Delete(c.upstreams, i, i+1)
	}
}

// orderedVersion returns the version that ordered upstreams get now.
func (c *moveCloud) orderedVersion() string {
	switch {
	case c.move.Next != "" && c.startsNext:
		return c.move.Next
	case c.move.isActive():
		return c.move.Serving
	case len(c.upstreams) > 0:
		return c.upstreams[0].version
	}
	return "v1"
}

// assertNothingRemoved checks that no order has removed an upstream during a move.
func (c *moveCloud) assertNothingRemoved() {
	c.t.Helper()
	assert.Equal(c.t, c.removed, 0, "upstreams were removed by orders during a move")
}
