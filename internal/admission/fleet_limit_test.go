package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetDaemons is in about the proportion to simUpstreams that deployments have.
const fleetDaemons = 8

func runFleetBurst(t *testing.T, title string, prepare func(*fleetSim), classes ...loadClass) *fleetSim {
	t.Helper()
	f := newFleetSim(fleetDaemons, simUpstreams, simCapacity)
	f.measureFrom = testStart.Add(burstFrom)
	if prepare != nil {
		prepare(f)
	}
	f.run(burstTo+2*time.Second, classes...)
	f.log(t, title)
	return f
}

// Guards against urgent requests that are refused or late because each daemon sees too few
// requests to notice a burst, and against daemons that refuse different shares of it.
func TestFleetRefusesTheBurst(t *testing.T) {
	f := runFleetBurst(t, "fleet burst", nil, longBurst(3)...)
	alone := runBurst(t, "alone", fleetDaemons, true, longBurst(3)...)
	for _, class := range []string{"chat", "middle"} {
		c := f.byClass[class]
		assert.Assert(t, c.lost() < 0.04, "%s %+v", class, c)
		assert.Assert(t, c.lost() < 0.6*alone.byClass[class].lost(), "%s %+v, without the fleet %+v", class, c, alone.byClass[class])
	}
	assert.Assert(t, float64(f.byClass["long"].inTime) > 0.8*float64(alone.byClass["long"].inTime))
	least, most := 1.0, 0.0
	for _, c := range f.byNode {
		least, most = min(least, c.lost()), max(most, c.lost())
	}
	// Each daemon has about 220 requests.
	assert.Assert(t, most < 4*least, "the daemons lose %.3f to %.3f", least, most)
}

// Guards against refusals by the figures of the fleet where there is room, also at a low
// load, when requests that arrive together are many compared with the throughput.
func TestFleetRefusesNothingWhileThereIsRoom(t *testing.T) {
	for _, share := range []float64{1, 0.3, 0.03} {
		classes := longBurst(1)
		for i := range classes {
			classes[i].perSecond = constant(share * classes[i].perSecond(0))
		}
		f := runFleetBurst(t, fmt.Sprintf("fleet at %g", share), nil, classes...)
		for name, c := range f.byClass {
			assert.Assert(t, c.lost() < 0.01, "at %g: %s %+v", share, name, c)
		}
	}
}

// Guards against admitted requests that are late while the room does not change.
func TestFewAdmittedRequestsAreLate(t *testing.T) {
	classes := longBurst(1)
	for i := range classes {
		classes[i].perSecond = constant(1.6 * classes[i].perSecond(0))
	}
	f := newFleetSim(fleetDaemons, simUpstreams, simCapacity)
	f.measureFrom = testStart.Add(3 * time.Second)
	f.run(15*time.Second, classes...)
	f.log(t, "constant overload")
	late, inTime := 0, 0
	for _, c := range f.byClass {
		late, inTime = late+c.late, inTime+c.inTime
	}
	assert.Assert(t, float64(late) <= 0.01*float64(late+inTime), "late %d, in time %d", late, inTime)
}

// Guards against a workspace that takes the room of the others of its priority by sending
// eight times as much.
func TestLargeWorkspaceDoesNotTakeTheRoomOfOthers(t *testing.T) {
	names := []string{"large", "a", "b", "c", "d", "e"}
	class := loadClass{
		name: "chat", priority: 9, target: 500 * time.Millisecond, cost: 2000,
		perSecond: func(at time.Duration) float64 {
			if at >= burstFrom && at < burstTo {
				return 0.6 * simCapacity / 2000 * 13 / 6
			}
			return 0.6 * simCapacity / 2000
		},
		workspace: func(at time.Duration, random *rand.Rand) string {
			if at < burstFrom || at >= burstTo {
				return names[random.IntN(6)]
			}
			return names[max(0, random.IntN(13)-7)]
		},
	}
	other := longBurst(1)[2]
	other.perSecond = constant(0.05 * simCapacity / 6000)
	f := runFleetBurst(t, "large workspace", nil, class, other)
	large := f.byWorkspace["large"]
	for _, name := range names[1:] {
		c := f.byWorkspace[name]
		t.Logf("%s %+v", name, *c)
		assert.Assert(t, c.lost() < 0.08 && c.lost() < 0.3*large.lost(), "%s %+v, large %+v", name, c, large)
	}
	t.Logf("large %+v", *large)
	// The large workspace gets what the others leave: 1 - 0.5 - 0.05 of the capacity.
	assert.Assert(t, float64(large.inTime)*2000/simCapacity > 0.25*4, "%+v", large)
}

// plainSlots and plainUpstreams are those of a plain service whose calls take 30 ms.
const (
	plainUpstreams = 3
	plainSlots     = 6
	plainPerSecond = plainUpstreams * plainSlots / 0.03
)

func runPlain(t *testing.T, title string, perSecond func(time.Duration) float64) *fleetSim {
	t.Helper()
	// Each slot is an upstream of the simulation.
	f := newFleetSim(fleetDaemons, plainUpstreams*plainSlots, plainPerSecond)
	for _, p := range f.daemons {
		p.ranks.hasQuotas = func() bool { return true }
		p.workLimit.upstreams = plainUpstreams
	}
	f.measureFrom = testStart.Add(burstFrom)
	f.run(burstTo+2*time.Second, loadClass{
		name: "booking", priority: 7, target: 150 * time.Millisecond, cost: 1, perSecond: perSecond,
		workspace: func(_ time.Duration, random *rand.Rand) string { return fmt.Sprint(random.IntN(6)) },
	})
	f.log(t, title)
	return f
}

// Guards against bookings that are refused while slots are free, and against those that are
// lost late instead of refused early when there are too many.
func TestPlainServiceWithFewSlots(t *testing.T) {
	for _, load := range []float64{0.05, 0.3, 0.6} {
		c := runPlain(t, fmt.Sprintf("plain at %g", load), constant(load*plainPerSecond)).byClass["booking"]
		assert.Assert(t, float64(c.refused) <= 0.005*float64(c.arrived), "at %g: %+v", load, c)
	}
	c := runPlain(t, "plain burst", burst(0.5*plainPerSecond, 3, burstFrom, burstTo)).byClass["booking"]
	assert.Assert(t, c.late < c.refused/4 && float64(c.inTime) > 0.5*float64(c.arrived), "%+v", c)
}

// Guards against urgent classes losing when upstreams disappear, a burst and a large
// workspace come at the same time.
func TestEverythingAtOnce(t *testing.T) {
	classes := longBurst(2.5)
	classes[1].perSecond = burst(0.2*simCapacity/2000, 1.5, burstFrom, burstTo)
	classes[2].workspace = func(_ time.Duration, random *rand.Rand) string {
		return []string{"large", "a", "b"}[max(0, random.IntN(10)-7)]
	}
	f := runFleetBurst(t, "everything", func(f *fleetSim) {
		f.onStep = func() {
			f.exchange()
			if at := f.now.Sub(testStart); at == burstFrom || at == burstFrom+time.Second {
				f.lose(f.live / 4)
			}
		}
	}, classes...)
	chats, long := f.byClass["chat"], f.byClass["long"]
	assert.Assert(t, chats.lost() < 0.1 && chats.lost() < long.lost(), "%+v", chats)
	assert.Assert(t, long.inTime > 0)
	for _, name := range []string{"large", "a", "b"} {
		assert.Assert(t, f.byWorkspace[name].inTime > 0, "%s %+v", name, f.byWorkspace[name])
	}
}

// Guards against decisions that depend on messages: daemons that hear nothing, or wrong
// figures, must not lose more than daemons without any messages do.
func TestFleetFaults(t *testing.T) {
	alone := runBurst(t, "alone", fleetDaemons, true, longBurst(3)...)
	for name, prepare := range map[string]func(*fleetSim){
		"half of the daemons hear nothing": func(f *fleetSim) {
			f.isLost = func(from, to int) bool { return (from < fleetDaemons/2) != (to < fleetDaemons/2) }
		},
		"a collector is silent during the burst": func(f *fleetSim) {
			f.isLost = func(from, to int) bool { return from == 0 && f.now.After(testStart.Add(burstFrom)) }
		},
		"both collectors die": func(f *fleetSim) {
			f.isLost = func(from, to int) bool { return from < 2 && f.now.After(testStart.Add(burstFrom+500*time.Millisecond)) }
		},
		"a third of the messages is lost": func(f *fleetSim) {
			f.isLost = func(int, int) bool { return f.random.IntN(3) == 0 }
		},
		"one daemon hears nobody": func(f *fleetSim) {
			f.isLost = func(from, to int) bool { return from == 7 || to == 7 }
		},
	} {
		f := runFleetBurst(t, name, prepare, longBurst(3)...)
		for _, class := range []string{"chat", "middle"} {
			assert.Assert(t, f.byClass[class].lost() < max(0.05, 1.2*alone.byClass[class].lost()), "%s: %s %+v, alone %+v", name, class, f.byClass[class], alone.byClass[class])
		}
	}
}

// Guards against a collector with wrong figures that makes all daemons refuse everything, or
// admit everything.
func TestWrongSumsAreIgnored(t *testing.T) {
	for name, factor := range map[string]float64{"too high": 1000, "too low": 0.001} {
		for load, classes := range map[string][]loadClass{"room": longBurst(1), "burst": longBurst(3)} {
			f := newFleetSim(fleetDaemons, simUpstreams, simCapacity)
			f.measureFrom = testStart.Add(burstFrom)
			f.factor = factor
			f.run(burstTo+2*time.Second, classes...)
			f.log(t, name+", "+load)
			bound := 0.02
			if load == "burst" {
				bound = 0.12
			}
			assert.Assert(t, f.byClass["chat"].lost() < bound, "%s, %s: %+v", name, load, f.byClass["chat"])
		}
	}
}

// Guards against a pool that stays limited because the answers of one class are slow whatever
// the load is, and against such slowness that hides an overload.
func TestSlownessThatDoesNotDependOnTheLoad(t *testing.T) {
	for _, hasFleet := range []bool{false, true} {
		for _, factor := range []float64{1, 3} {
			classes := longBurst(1)
			classes[2].delay = 800 * time.Millisecond
			perSecond := classes[2].perSecond(0)
			classes[2].perSecond = func(at time.Duration) float64 {
				if at > 32*time.Second {
					return factor * perSecond
				}
				return perSecond
			}
			f := newFleetSim(fleetDaemons, simUpstreams, simCapacity)
			if !hasFleet {
				f.isLost = func(int, int) bool { return true }
			}
			f.measureFrom = testStart.Add(30 * time.Second)
			f.run(36*time.Second, classes...)
			f.log(t, fmt.Sprintf("slow class, fleet %t, factor %g", hasFleet, factor))
			chats, long := f.byClass["chat"], f.byClass["long"]
			if factor == 1 {
				assert.Assert(t, chats.lost() < 0.02 && long.lost() < 0.05, "%+v %+v", chats, long)
				continue
			}
			assert.Assert(t, chats.lost() < 0.15 && chats.lost() < long.lost(), "%+v %+v", chats, long)
		}
	}
}
