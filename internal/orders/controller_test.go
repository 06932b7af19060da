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
	"rattantide/internal/engineclient"
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
		f := newFixture(t, fencing, 8, 3*time.Second)
		defer f.close()
		f.busy(0, 400) // 40 s
		f.list.Instances[7].State = membership.StateLeaving
		h := f.start(Options{LoadShare: 0.25})
		f.grant(h)
		f.engines[3].Faults().Update(func(x *engine.Faults) { x.LoseOrderAnswers = 2 })
		f.store.SetOutage(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.logged(1, "order")), 0, "ordered without the configuration that is stored")
		f.store.SetOutage(false)
		most := 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			now := 0
			for i := range f.engines {
				now += len(f.logged(i, "order")) - len(f.logged(i, "loaded"))
			}
			most = max(most, now)
		}
		assert.Equal(t, most, 2, "engines loading at once")
		assert.Equal(t, f.serving(), "v2 v1 v1 v1 v1 v1 v1 v2")
		time.Sleep(time.Minute)
		assert.Equal(t, f.serving(), "v1 v1 v1 v1 v1 v1 v1 v2")
		assert.Equal(t, len(f.logged(2, "order")), 1, "an engine that loads or is in place was ordered again")
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
				f := newFixture(t, fencing, 1, time.Second)
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
				executed := strings.Join(f.logged(0, "order"), ", ")
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
			f := newFixture(t, fencing, 4, time.Second)
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
			before := f.store.Revision() + int64(len(f.logged(0, "order")))
			time.Sleep(3 * time.Minute)
			if f.store.Revision()+int64(len(f.logged(0, "order"))) != before {
				failure += " engines in place are ordered"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against a holder that goes on although an engine has shown it a newer
// fencing token, before its lease is confirmed.
func TestStaleFencePutsLeaseInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, api.FencingChecked, 1, time.Second)
		defer f.close()
		h := f.start(Options{LeaseTTL: 20 * time.Second})
		_, err := h.Client.Order(f.ctx, "e0:1", engineclient.Order{Fence: 1000, Want: engineclient.Want{Version: "v2"}})
		assert.NilError(t, err)
		f.grant(h)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(f.logged(0, "refuse")), 1)
		time.Sleep(20 * time.Second)
		assert.Assert(t, len(f.logged(0, "refuse")) > 1, "a confirmed lease is not used")
	})
}

// Guards against an order of an earlier holder that has reached an engine in
// place, which then loads and serves another version, and against an intent of
// an earlier holder that replaces a newer one.
func TestInheritedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, api.FencingIgnored, 1, 30*time.Second)
		defer f.close()
		f.want("v3", api.FencingIgnored)
		old := f.start(Options{})
		f.grant(old)
		f.store.HoldWrites(1)
		time.Sleep(4500 * time.Millisecond)
		f.want("v2", api.FencingIgnored)
		young := f.start(Options{})
		f.grant(young)
		order := engineclient.Order{Fence: 10, ID: "late", Want: engineclient.Want{Version: "v3"}}
		assert.NilError(t, recordIntent(f.ctx, f.store, "e0", intent{Pool: "draft", Address: "e0:1", Fence: 10, Version: "v3"}))
		assert.Equal(t, f.store.ReleaseWrites(), 0, "an intent replaced a newer one")
		f.busy(0, 1000)
		_, err := old.Client.Order(f.ctx, "e0:1", order)
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		assert.Equal(t, strings.Join(f.logged(0, "order"), ", "), "10 v3, 20 v2")
		assert.Equal(t, len(f.logged(0, "loaded")), 1, "the unwanted version was served")
		err = recordIntent(f.ctx, f.store, "e0", intent{Pool: "draft", Address: "e0:1", Fence: 10, Version: "v3"})
		assert.ErrorIs(t, err, errNewerIntent)
	})
}

// Guards against orders that follow a configuration which the watch has not yet
// brought up to date.
func TestLaggingWatch(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing api.Fencing) {
		f := newFixture(t, fencing, 1, time.Second)
		defer f.close()
		f.grant(f.start(Options{}))
		holders := f.holders
		f.holders = nil
		f.want("v2", fencing)
		f.holders = holders
		time.Sleep(time.Minute)
		assert.Equal(t, len(f.logged(0, "order")), 0)
	})
}

// Guards against a flood of orders to an engine that does not take them, and
// against an order before all daemons know that the version gets no traffic.
func TestRetriesBackOff(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing api.Fencing) {
		f := newFixture(t, fencing, 1, time.Second)
		defer f.close()
		h := f.start(Options{})
		h.refused.Store(1)
		f.grant(h)
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.refused.Load(), int64(1), "ordered at once")
		time.Sleep(5 * time.Minute)
		assert.Assert(t, h.refused.Load() > 5 && h.refused.Load() < 25, "%d orders in 5 min", h.refused.Load()-1)
		h.refused.Store(0)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, f.serving(), "v1")
	})
}

// Guards against engines that are taken away from a running or coming move, and
// against engines of replaced versions that are left behind.
func TestTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, api.FencingIgnored, 0, 0)
		defer f.close()
		h := f.start(Options{})
		places := func(versions string) (out string) {
			var all []membership.Upstream
			for _, v := range strings.Fields(versions) {
				all = append(all, membership.Upstream{Load: &membership.Load{Version: v}})
			}
			target := targetOf(h.config.Snapshot(), "draft", all)
			for i := range all {
				if target.outOfPlace(&all[i]) {
					out += all[i].Load.Version
				}
			}
			return out
		}
		f.put(api.KindVersion, "v3", api.Version{Pool: "draft"}, nil)
		f.put(api.KindVersion, "v2", api.Version{Pool: "draft"}, nil)
		assert.Equal(t, places("v1 v2 v3 v4"), "v2v4", "v2 was undone, v3 waits for its move, v4 is unknown")
		assert.Equal(t, places("v1 v3 v3"), "v3v3", "a staged version must not outnumber the one in effect")
		f.put(api.KindVersionMove, "m2", api.VersionMove{Pool: "draft", From: "v1", To: "v2"}, nil)
		assert.Equal(t, places("v1 v2 v2 v4"), "v4", "a move runs")
		f.put(api.KindVersionMove, "m2", api.VersionMove{Pool: "draft", From: "v1", To: "v2"}, &api.MoveStatus{Phase: api.MoveDone})
		assert.Equal(t, places("v1 v2 v3 v4"), "v1v4", "the move is done")
	})
}
