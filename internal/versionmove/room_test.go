package versionmove

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
)

// Guards against a switch to a version with too few upstreams although there was time to wait
// for more, against one to a version without any, and against a sound version that is not
// accepted in time because it has less room than the old one.
func TestSwitchWaitsForRoom(t *testing.T) {
	for name, c := range map[string]struct {
		room Room
		left time.Duration
		want Phase
	}{
		"enough":                         {Room{New: 14, Old: 14}, maxSwitchLead, PhaseDone},
		"one of many is missing":         {Room{New: 13, Old: 14}, maxSwitchLead, PhaseDone},
		"fewer than old ones, as needed": {Room{New: 9, Old: 14, Needed: 9}, maxSwitchLead, PhaseDone},
		"need above the old ones":        {Room{New: 14, Old: 14, Needed: 20}, maxSwitchLead, PhaseDone},
		"too few":                        {Room{New: 6, Old: 14, Needed: 9}, maxSwitchLead, PhaseRunning},
		"too few, need unknown":          {Room{New: 6, Old: 14}, maxSwitchLead, PhaseRunning},
		"half, need unknown":             {Room{New: 7, Old: 14}, maxSwitchLead, PhaseDone},
		"too few just before the end":    {Room{New: 6, Old: 14}, roomSwitchLead, PhaseDone},
		"old ones are gone":              {Room{New: 2}, maxSwitchLead, PhaseDone},
		"none just before the end":       {Room{Old: 14}, minSwitchLead, PhaseRunning},
		"none at the end":                {Room{Old: 14}, 0, PhaseUndone},
		"list is empty":                  {Room{}, 0, PhaseDone},
	} {
		e := evidence(Tally{Answers: 200, Failures: 14, FirstMs: 18_000})
		// The budget allows the longest lead.
		e.Traffic = Traffic{IsRateKnown: true, PerSecond: 20, Total: 200, New: 2}
		e.Left, e.Room, e.Ready = c.left, c.room, c.room.New > 0
		s := Decide(State{Service: "s", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.01}, e)
		assert.Equal(t, s.Phase, c.want, name)
		if s.Phase == PhaseRunning {
			assert.Assert(t, s.Share < testShare, "%s: share %g", name, s.Share)
		}
	}
}

// Guards against a holder that switches to a version which has lost most of its upstreams
// shortly before: a zone is reclaimed, and others appear before the deadline.
func TestHolderWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := func(v1, v2 int) []membership.Instance {
			var out []membership.Instance
			for i := range v1 + v2 {
				u := membership.Instance{Pool: "s", Version: "v1", State: membership.StateLive}
				if i >= v1 {
					u.Version = "v2"
				}
				out = append(out, u)
			}
			return out
		}
		const within = 14 * time.Second
		start := time.Now()
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: within}}}
		c := newHolderController(objecttest.New(), NewLedger(), declarations)
		c.opts.Upstreams = func() []membership.Instance {
			switch elapsed := time.Since(start); {
			case elapsed < within-3*time.Second, elapsed > within-800*time.Millisecond:
				return instances(10, 10)
			}
			return instances(10, 4)
		}
		var switchedAt time.Duration
		c.opts.OnChange = func(_ string, s RevisionedState) {
			if s.State.Phase == PhaseDone {
				switchedAt = time.Since(start)
			}
		}
		go func() { _ = c.Run(t.Context()) }()
		for i := range int64(within / (250 * time.Millisecond)) {
			c.opts.Ledger.Set("d/p", map[string]Tally{Key("s", "v1"): {Started: 5 * i, Answers: 5 * i}, Key("s", "v2"): {Started: i, Answers: i}})
			time.Sleep(250 * time.Millisecond)
		}
		synctest.Wait()
		assert.Assert(t, switchedAt > within-800*time.Millisecond && switchedAt < within, "switched after %s", switchedAt)
		assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseDone)
	})
}
