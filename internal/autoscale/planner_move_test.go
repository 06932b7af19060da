package autoscale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testNeed is the number of upstreams that the load of a moveCloud needs.
const testNeed = 9

// Guards against a service that stays below what the load needs until the end of a move, as
// nothing replaces the upstreams that are reclaimed meanwhile.
func TestReclaimedUpstreamsAreReplacedDuringMove(t *testing.T) {
	for name, c := range map[string]struct {
		startsNext bool
		domains    []string
		serving    int
	}{
		"one domain":                    {false, []string{"a"}, testNeed},
		"two domains":                   {false, []string{"a", "b"}, testNeed},
		"ordered ones have new version": {true, []string{"a", "b"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			cloud := newMoveCloud(t)
			before := cloud.live("v1")
			cloud.beginMove()
			cloud.startsNext = c.startsNext
			cloud.run(3 * time.Second)
			for _, domain := range c.domains {
				cloud.reclaim(domain)
				cloud.run(time.Second)
			}
			cloud.run(5 * time.Second)
			assert.Assert(t, cloud.live("v1") >= c.serving, "%d upstreams serve, %d before the move", cloud.live("v1"), before)
			assert.Assert(t, cloud.live("v2") >= before, "%d upstreams of the new version, %d before the move", cloud.live("v2"), before)
			cloud.assertNothingRemoved()
		})
	}
}

// Guards against orders that remove the upstreams which the platform has started for a move
// and that are not listed yet.
func TestStartingUpstreamsOfMoveAreKept(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		cloud := newMoveCloud(t)
		cloud.reclaim("a")
		cloud.beginMove()
		for i := range cloud.upstreams {
			if cloud.upstreams[i].version == "v2" {
				cloud.upstreams[i].liveAt = cloud.now.Add(delay + time.Duration(i%4)*300*time.Millisecond)
			}
		}
		cloud.run(10 * time.Second)
		cloud.assertNothingRemoved()
	}
}

// Guards against an endless series of orders for the serving version if the platform starts
// the new version instead.
func TestOrdersEndIfTheyStartTheNewVersion(t *testing.T) {
	cloud := newMoveCloud(t)
	cloud.beginMove()
	cloud.startsNext = true
	cloud.run(2 * time.Second)
	cloud.reclaim("a")
	cloud.reclaim("b")
	cloud.run(8 * time.Second)
	orders, next := cloud.orders, cloud.live("v2")
	cloud.run(60 * time.Second)
	assert.Equal(t, cloud.orders, orders)
	assert.Equal(t, cloud.live("v2"), next)
}

// Guards against a new version that lacks upstreams at the switch although there was time to
// order them.
func TestMissingUpstreamsOfNewVersionAreOrdered(t *testing.T) {
	cloud := newMoveCloud(t)
	cloud.beginMove()
	cloud.startsNext = true
	lost := 0
	cloud.remove(func(u cloudUpstream) bool {
		if u.version != "v2" || lost == 12 {
			return false
		}
		lost++
		return true
	})
	cloud.run(12 * time.Second)
	assert.Assert(t, cloud.live("v2") >= testNeed, "%d upstreams of the new version", cloud.live("v2"))
	cloud.assertNothingRemoved()
}

// Guards against orders that come up to 15 s after the end of a move, as the upstreams of the
// losing version stay for some seconds, and against those that count them as capacity.
func TestCapacityIsOrderedAtTheEndOfMove(t *testing.T) {
	t.Run("rolled back after a reclaim", func(t *testing.T) {
		cloud := newMoveCloud(t)
		cloud.beginMove()
		cloud.run(6 * time.Second)
		cloud.paused = true
		cloud.reclaim("a")
		cloud.reclaim("b")
		cloud.rollBack()
		cloud.paused = false
		cloud.run(2500 * time.Millisecond)
		assert.Assert(t, cloud.orders > 0)
		cloud.assertNothingRemoved()
		cloud.run(3 * time.Second)
		assert.Assert(t, cloud.live("v1") >= testNeed, "%d upstreams serve", cloud.live("v1"))
	})
	t.Run("burst right after a rollback", func(t *testing.T) {
		cloud := newMoveCloud(t)
		cloud.beginMove()
		cloud.run(10 * time.Second)
		cloud.rollBack()
		before := cloud.live("v1")
		cloud.median, cloud.lateShare = 0.9, 0.4
		cloud.run(2500 * time.Millisecond)
		assert.Assert(t, cloud.live("v2") > 0, "the losing version has left")
		cloud.run(2 * time.Second)
		assert.Assert(t, cloud.live("v1") > before, "%d upstreams serve, %d before the burst", cloud.live("v1"), before)
		cloud.assertNothingRemoved()
	})
	t.Run("burst right after the switch", func(t *testing.T) {
		cloud := newMoveCloud(t)
		cloud.beginMove()
		cloud.run(14 * time.Second)
		old := cloud.live("v1")
		cloud.complete()
		cloud.showStopped(old)
		before := cloud.live("v2")
		cloud.median, cloud.lateShare = 0.9, 0.4
		cloud.run(6 * time.Second)
		assert.Assert(t, cloud.live("v2") > before, "%d upstreams serve, %d before the burst", cloud.live("v2"), before)
		cloud.assertNothingRemoved()
	})
}

// Guards against a service that gives up a third of its upstreams right after the switch, when
// their caches are empty and the reclaimable ones that replace them are not live yet, and
// against one that pays for them later.
func TestSurplusStaysUntilReplacedAfterSwitch(t *testing.T) {
	cloud := newMoveCloud(t)
	before := cloud.live("v1")
	cloud.beginMove()
	cloud.run(10 * time.Second)
	cloud.complete()
	for range 20 {
		cloud.run(500 * time.Millisecond)
		assert.Assert(t, cloud.live("v2") >= before, "%d upstreams serve, %d before the move", cloud.live("v2"), before)
		if cloud.live("v2") > before {
			break
		}
	}
	cloud.run(8 * time.Second)
	assert.Equal(t, cloud.live("v2"), before)
}

// Guards against a service that does not grow while its callers wait during a move, and
// against one that shrinks below what a rollback needs.
func TestTargetDuringMove(t *testing.T) {
	cloud := newMoveCloud(t)
	target := cloud.planner.Target()
	cloud.beginMove()
	cloud.run(2 * time.Second)
	cloud.median, cloud.lateShare = 0.1, 0
	cloud.run(30 * time.Second)
	assert.Equal(t, cloud.planner.Target(), target)
	before := cloud.live("v1")
	cloud.median, cloud.lateShare = 0.9, 0.4
	cloud.run(6 * time.Second)
	assert.Assert(t, cloud.live("v1") > before, "%d upstreams serve, %d before the burst", cloud.live("v1"), before)
	cloud.assertNothingRemoved()
}

// Guards against a new holder of the duties that orders for the move what the one before has
// ordered, or removes it.
func TestNextHolderDuringMove(t *testing.T) {
	for _, startsNext := range []bool{false, true} {
		for at := time.Duration(0); at < 20*time.Second; at += 500 * time.Millisecond {
			cloud := newMoveCloud(t)
			cloud.startsNext = startsNext
			for step := time.Duration(0); step < 20*time.Second; step += 500 * time.Millisecond {
				switch step {
				case time.Second:
					cloud.beginMove()
				case 5 * time.Second:
					cloud.reclaim("b")
				case 15 * time.Second:
					cloud.complete()
				}
				if step == at {
					cloud.planner = ResumePlanner(cloud.planner.target, cloud.planner.initial, cloud.now)
				}
				cloud.run(500 * time.Millisecond)
				assert.Assert(t, len(cloud.upstreams) <= 2*14+testNeed, "%d upstreams %s after the start, holder lost at %s", len(cloud.upstreams), step, at)
			}
			cloud.assertNothingRemoved()
			cloud.run(20 * time.Second)
			assert.Assert(t, len(cloud.upstreams) >= testNeed && len(cloud.upstreams) <= 14+1, "%d upstreams, holder lost at %s", len(cloud.upstreams), at)
		}
	}
}

// Guards against orders above the bounds of the platform, which may remove upstreams.
func TestMoveOrdersStayWithinBounds(t *testing.T) {
	cloud := newMoveCloud(t)
	bounds := *moveBounds
	bounds.MaxPerDomain = 10
	cloud.bounds = &bounds
	cloud.beginMove()
	cloud.run(2 * time.Second)
	cloud.reclaim("a")
	cloud.reclaim("b")
	cloud.run(10 * time.Second)
	byDomain := map[string]int{}
	for _, u := range cloud.upstreams {
		byDomain[u.place.Domain]++
	}
	for domain, count := range byDomain {
		assert.Assert(t, count <= bounds.MaxPerDomain, "%d upstreams in domain %s", count, domain)
	}
	assert.Assert(t, cloud.live("v1") >= testNeed, "%d upstreams serve", cloud.live("v1"))
	cloud.assertNothingRemoved()
}
