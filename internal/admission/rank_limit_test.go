package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	burstFrom = 6 * time.Second
	burstTo   = 10 * time.Second
	// simUpstreams and simCapacity describe upstreams that prefill 40 tokens per
	// millisecond each.
	simUpstreams = 16
	simCapacity  = simUpstreams * 40_000
)

// longBurst is a load of three classes whose short ones are the most urgent. It needs
// 75% of the capacity outside the burst, in which the long prompts are multiplied.
func longBurst(factor float64) []loadClass {
	return []loadClass{
		{name: "chat", priority: 9, target: 500 * time.Millisecond, cost: 700, perSecond: constant(0.15 * simCapacity / 700)},
		{name: "middle", priority: 8, target: 600 * time.Millisecond, cost: 2000, perSecond: constant(0.2 * simCapacity / 2000)},
		{name: "long", priority: 7, target: 1500 * time.Millisecond, cost: 6000, perSecond: burst(0.4*simCapacity/6000, factor, burstFrom, burstTo)},
	}
}

func runBurst(t *testing.T, title string, daemons int, isRanked bool, classes ...loadClass) *loadSim {
	t.Helper()
	s := newLoadSim(daemons, simUpstreams, simCapacity, isRanked)
	s.measureFrom = testStart.Add(burstFrom)
	s.run(burstTo+2*time.Second, classes...)
	s.log(t, fmt.Sprintf("%s, %d daemons, by rank %t", title, daemons, isRanked))
	return s
}

// Guards against urgent classes losing to a burst of a less urgent one because their
// targets are shorter: daemons that exchange no messages must refuse the burst instead.
func TestBurstOfLongPromptsLeavesUrgentClasses(t *testing.T) {
	for daemons, bound := range map[int]float64{1: 0.06, 8: 0.1} {
		before, after := runBurst(t, "burst", daemons, false, longBurst(3)...), runBurst(t, "burst", daemons, true, longBurst(3)...)
		chats, middle, long := after.byClass["chat"], after.byClass["middle"], after.byClass["long"]
		assert.Assert(t, chats.lost() < bound && middle.lost() < bound, "%d daemons: %+v %+v", daemons, chats, middle)
		assert.Assert(t, chats.lost() < 0.5*before.byClass["chat"].lost(), "%d daemons: %+v before %+v", daemons, chats, before.byClass["chat"])
		// The room is still used: the burst gets what the others leave.
		assert.Assert(t, float64(long.inTime) > 0.8*float64(before.byClass["long"].inTime), "%d daemons: %+v", daemons, long)
	}
}

// Guards against refusals where there is room: many daemons with few requests each see
// random bursts of their own while the upstreams are not saturated.
func TestRanksRefuseNothingWhileThereIsRoom(t *testing.T) {
	for _, daemons := range []int{1, 8, 40} {
		s := runBurst(t, "room", daemons, true, longBurst(1)...)
		for name, c := range s.byClass {
			assert.Assert(t, c.lost() < 0.01, "%d daemons: %s %+v", daemons, name, c)
		}
	}
}

// Guards against a class or a workspace that gets nothing while more urgent ones need
// more than there is.
func TestGuaranteedSharesUnderUrgentOverload(t *testing.T) {
	classes := longBurst(1)
	classes[0].perSecond = burst(0.15*simCapacity/700, 9, burstFrom, burstTo)
	classes[2].workspace = func(_ time.Duration, random *rand.Rand) string {
		// The large workspace sends eight times as much as each of the others.
		return []string{"large", "a", "b"}[max(0, random.IntN(10)-7)]
	}
	s := newLoadSim(1, simUpstreams, simCapacity, true)
	s.measureFrom = testStart.Add(burstFrom + time.Second)
	s.run(burstTo, classes...)
	s.log(t, "urgent overload")
	const share = 0.5 * guaranteedShare * simCapacity * 3 // of 3 s, half allowed for the granularity
	assert.Assert(t, float64(s.byClass["long"].inTime)*6000 > share, "%+v", s.byClass["long"])
	assert.Assert(t, float64(s.byClass["middle"].inTime)*2000 > share, "%+v", s.byClass["middle"])
	for _, workspace := range []string{"large", "a", "b"} {
		assert.Assert(t, s.byWorkspace[workspace].inTime > 0, "%s %+v", workspace, s.byWorkspace[workspace])
	}
}

// Guards against other decisions than without ranks where priorities do not differ and
// no workspace has a quota.
func TestOnePriorityIsDecidedAsWithoutRanks(t *testing.T) {
	classes := longBurst(3)
	for i := range classes {
		classes[i].priority = 5
	}
	before, after := runBurst(t, "one priority", 4, false, classes...), runBurst(t, "one priority", 4, true, classes...)
	for name, c := range before.byClass {
		assert.Equal(t, *after.byClass[name], *c, name)
	}
}

// Guards against a limit that stays without effect for longer than a part of a burst.
func TestRankLimitReactsWithinSomeHundredMilliseconds(t *testing.T) {
	s := newLoadSim(1, simUpstreams, simCapacity, true)
	limitedAt := time.Time{}
	s.onStep = func() {
		if limitedAt.IsZero() && s.daemons[0].workLimit.outstanding >= s.daemons[0].workLimit.value {
			limitedAt = s.now
		}
	}
	s.run(burstTo, longBurst(3)...)
	assert.Assert(t, !limitedAt.IsZero())
	after := limitedAt.Sub(testStart.Add(burstFrom))
	assert.Assert(t, after > 0 && after < 700*time.Millisecond, "limited after %s", after)
}

// Measures a decision with all ranks and many workspaces, by the daemon's own figures and by
// those of the fleet.
func BenchmarkRankedDecision(b *testing.B) {
	for _, hasFleet := range []bool{false, true} {
		b.Run(fmt.Sprintf("fleet=%t", hasFleet), func(b *testing.B) { measureDecision(b, hasFleet) })
	}
}

func measureDecision(b *testing.B, hasFleet bool) {
	p := newPool(DefaultMaxWaiting, DefaultMaxPerWorkspace)
	p.workLimit, p.ranks = newWorkLimit(), newRankLimit(nil)
	now := testStart
	requests := make([]Request, 64)
	for i := range requests {
		requests[i] = Request{ID: fmt.Sprint(i), Workspace: fmt.Sprint(i % 16), Class: fmt.Sprint(i % 4), Priority: 6 + i%4, Cost: 1000, FirstTarget: time.Second, Within: 0.95}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := &requests[i%len(requests)]
		if i >= 32 {
			p.recordEnd(&requests[(i-32)%len(requests)], Outcome{OK: true, FirstLatency: 32 * time.Millisecond, Total: 32 * time.Millisecond}, now)
		}
		p.admitOrQueue(r, now)
		if hasFleet && i%200 == 100 {
			load := p.ranks.takeLoad(now)
			p.applyFleetLoad(&load, 2, now)
		}
	}
}

// Guards against urgent classes losing when a third of the upstreams disappears, twice.
func TestLossOfUpstreamsLeavesUrgentClasses(t *testing.T) {
	s := newLoadSim(1, 2*simUpstreams, 2*simCapacity, true)
	s.measureFrom = testStart.Add(burstFrom)
	s.onStep = func() {
		switch s.now.Sub(testStart) {
		case burstFrom, burstFrom + 2*time.Second:
			s.lose(s.live / 3)
		}
	}
	classes := longBurst(1)
	for i := range classes {
		perSecond := classes[i].perSecond
		classes[i].perSecond = func(at time.Duration) float64 { return 2 * perSecond(at) }
	}
	s.run(burstTo+2*time.Second, classes...)
	s.log(t, "loss")
	chats, long := s.byClass["chat"], s.byClass["long"]
	assert.Assert(t, chats.lost() < 0.05, "%+v", chats)
	assert.Assert(t, long.lost() > chats.lost() && long.inTime > 0, "%+v", long)
}
