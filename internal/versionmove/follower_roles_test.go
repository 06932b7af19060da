package versionmove

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// Guards against a holder of the duties that counts upstreams of the losing version, or of a
// move before, as capacity, and against one that orders by the state of the move before while
// the upstreams of a new move start.
func TestRoles(t *testing.T) {
	both := []membership.Instance{
		{Name: "a", Pool: "s", Version: "v1", State: membership.StateLive}, {Name: "b", Pool: "s", Version: "v2", State: membership.StateLive},
	}
	onlyNew := both[1:]
	late := maxSettleTime
	for name, c := range map[string]struct {
		state      State
		upstreams  []membership.Instance
		isDeclared bool
		after      time.Duration
		want       Roles
		ok         bool
	}{
		"no move":                      {State{}, both[:1], false, 0, Roles{}, false},
		"running":                      {State{From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.05}, both, true, 0, Roles{Serving: "v1", Next: "v2"}, true},
		"running, none listed":         {State{From: "v1", To: "v2", Phase: PhaseRunning}, both[:1], true, 0, Roles{Serving: "v1", Next: "v2"}, true},
		"running, old ones are gone":   {State{From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.05}, onlyNew, true, unservedTolerance, Roles{Serving: "v2"}, true},
		"done":                         {State{From: "v1", To: "v2", Phase: PhaseDone, Share: 1}, both, false, 0, Roles{Serving: "v2", IsSwitched: true}, true},
		"undone":                       {State{From: "v1", To: "v2", Phase: PhaseUndone}, both, false, 0, Roles{Serving: "v1"}, true},
		"undone, the next is declared": {State{From: "v1", To: "v2", Phase: PhaseUndone}, both, true, 0, Roles{}, false},
		"undone, third version stays":  {State{From: "v1", To: "v3", Phase: PhaseUndone}, both, false, 0, Roles{Serving: "v1"}, true},
		"done, none of the old stays":  {State{From: "v1", To: "v2", Phase: PhaseDone, Share: 1}, onlyNew, false, 0, Roles{}, false},
		"done long ago":                {State{From: "v1", To: "v2", Phase: PhaseDone, Share: 1}, both, false, late, Roles{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := &Follower{
				Store: objecttest.New(), Logger: telemetry.Discard(), ReadsStore: func() bool { return false }, Now: func() time.Time { return now },
				Upstreams: func() []membership.Instance { return c.upstreams },
			}
			if c.state.Phase != "" {
				c.state.Service = "s"
				f.Merge(map[string]RevisionedState{"s": {State: c.state, Revision: 1}}, true)
			}
			f.recordUnserved()
			endedAt := now
			now = now.Add(c.after)
			f.recordUnserved()
			roles, ok := f.Roles("s", c.isDeclared)
			assert.Equal(t, ok, c.ok)
			if !ok {
				return
			}
			if c.state.Phase != PhaseRunning {
				c.want.EndedAt = endedAt
			}
			assert.Equal(t, roles, c.want)
		})
	}
}

// Guards against a new holder of the duties that orders upstreams before it has read that a
// move is declared, and against one that orders nothing from the report of the outcome until
// it has read the declared moves again.
func TestMoveIsRunningUntilItsOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		c := newHolderController(objecttest.New(), NewLedger(), declarations)
		assert.Assert(t, !c.IsKnown())
		c.reconcile(t.Context())
		assert.Assert(t, c.IsKnown() && c.IsRunning("s"))
		c.opts.Ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Failures: 20}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		c.advanceAll(t.Context(), false)
		assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseUndone)
		assert.Assert(t, !c.IsRunning("s"))
		c.opts.Held = func() (int64, bool) { return 0, false }
		c.pass(t.Context())
		assert.Assert(t, !c.IsKnown())
	})
}
