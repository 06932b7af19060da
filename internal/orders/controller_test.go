package orders

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/standin/engine"
)

var fencings = []api.Fencing{api.FencingChecked, api.FencingIgnored}

func forEachFencing(t *testing.T, test func(t *testing.T, fencing api.Fencing)) {
	for _, fencing := range fencings {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, fencing) })
		})
	}
}

// Guards against engines that stay on the version of an undone move, against
// orders to engines that work or leave, and against all engines loading at once.
func TestEnginesReturnFromUndoneMove(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing api.Fencing) {
		f := newFixture(t, fencing, 8)
		defer f.close()
		f.busy(0, 400) // 40 s
		f.list.Instances[7].State = membership.StateLeaving
		h := f.start(Options{LoadShare: 0.25})
		f.grant(h)
		f.engines[3].Faults().Update(func(x *engine.Faults) { x.LoseOrderAnswers = 2 })
		f.store.SetOutage(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.orders(1, 0)), 0, "ordered without the configuration that is stored")
		f.store.SetOutage(false)
		most := 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			now := 0
			for i := range f.engines {
				started, loaded := 0, 0
				for _, e := range f.engines[i].Log().Entries(0) {
					if e.Event == "order" {
						started = 1
					}
					if e.Event == "loaded" {
						loaded = 1
					}
				}
				now += started - loaded
			}
			most = max(most, now)
		}
		assert.Equal(t, most, 2, "engines loading at once")
		assert.Equal(t, f.serving(), "v2 v1 v1 v1 v1 v1 v1 v2")
		time.Sleep(time.Minute)
		assert.Equal(t, f.serving(), "v1 v1 v1 v1 v1 v1 v1 v2")
		assert.Equal(t, len(f.orders(2, 0)), 1, "an engine that loads or is in place was ordered again")
	})
}

// Guards against an old holder whose order reaches an engine after the order of
// the new holder, when it was paused around its check of the lease or its order
// was held up on the network.
func TestPausedHolder(t *testing.T) {
	for name, stall := range map[string]func(old *holder){
		"before the check":         func(old *holder) { old.beforeCheck.Store(int64(30 * time.Second)) },
		"shortly before it":        func(old *holder) { old.beforeCheck.Store(int64(1500 * time.Millisecond)) },
		"after the check":          func(old *holder) { old.afterCheck.Store(int64(30 * time.Second)) },
		"order held up in transit": func(old *holder) { old.flight.Store(int64(7 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			forEachFencing(t, func(t *testing.T, fencing api.Fencing) {
				f := newFixture(t, fencing, 1)
				defer f.close()
				old := f.start(Options{})
				f.grant(old)
				stall(old)
				for old.beforeCheck.Load()+old.afterCheck.Load()+old.flight.Load() > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				// The old holder is stalled with an order for v1; a further move
				// ends and the new holder wants v3.
				young := f.start(Options{})
				f.grant(young)
				f.want("v3", fencing)
				time.Sleep(time.Minute)
				assert.Equal(t, f.serving(), "v3")
				executed := strings.Join(f.orders(0, 0), ", ")
				switch {
				case name == "order held up in transit" && fencing == api.FencingIgnored:
					assert.Equal(t, executed, "10 v1, 20 v3")
				default:
					assert.Equal(t, executed, "20 v3")
				}
			})
		})
	}
}

// Guards against engines that do not end in the wanted state, or are ordered
// again and again, after any sequence of takeovers, pauses, outages, lost
// answers, reclaims and changes of the wanted version.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fencing := rapid.SampledFrom(fencings).Draw(rt, "fencing")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 3, 20).Draw(rt, "steps")
		gaps := rapid.SliceOfN(rapid.IntRange(100, 6000), len(steps), len(steps)).Draw(rt, "gaps in ms")
		// A failure inside of the bubble must not unwind through it.
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, fencing, 4)
			defer f.close()
			holders := []*holder{f.start(Options{LoadShare: 0.5}), f.start(Options{LoadShare: 0.5})}
			f.grant(holders[0])
			wanted, gone := "v1", false
			for n, step := range steps {
				h := holders[n%2]
				switch step {
				case 0, 1:
					f.grant(h)
				case 2:
					h.beforeCheck.Store(int64(gaps[n]) * int64(2*time.Millisecond))
				case 3:
					h.afterCheck.Store(int64(gaps[n]) * int64(2*time.Millisecond))
				case 4:
					h.flight.Store(int64(gaps[n]) * int64(time.Millisecond))
				case 5:
					f.store.LoseAnswers(2)
				case 6:
					f.store.SetOutage(true)
				case 7:
					f.store.SetOutage(false)
				case 8:
					f.engines[n%4].Faults().Update(func(x *engine.Faults) { x.LoseOrderAnswers++ })
				case 9:
					f.store.SetOutage(false)
					f.store.LoseAnswers(0)
					wanted = fmt.Sprint("v", 3+n)
					f.want(wanted, fencing)
					if !gone {
						gone = true
						f.reclaim(3)
					}
				}
				time.Sleep(time.Duration(gaps[n]) * time.Millisecond)
			}
			f.store.SetOutage(false)
			f.store.LoseAnswers(0)
			f.grant(holders[0])
			time.Sleep(3 * time.Minute)
			expected := strings.Repeat(wanted+" ", 3) + wanted
			if gone {
				expected = strings.Repeat(wanted+" ", 3) + "gone"
			}
			if got := f.serving(); got != expected {
				failure = fmt.Sprintf("engines serve %s, wanted %s", got, expected)
			}
			before := len(f.orders(0, 0)) + len(f.orders(1, 0)) + len(f.orders(2, 0))
			time.Sleep(3 * time.Minute)
			if after := len(f.orders(0, 0)) + len(f.orders(1, 0)) + len(f.orders(2, 0)); after != before {
				failure += fmt.Sprintf(" %d orders to engines in place", after-before)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
