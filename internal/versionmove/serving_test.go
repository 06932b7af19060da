package versionmove

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
)

// versionedUpstreams returns live upstreams of service s, a count of each version.
func versionedUpstreams(counts map[string]int) []membership.Instance {
	var out []membership.Instance
	for version, count := range counts {
		for i := range count {
			out = append(out, membership.Instance{Name: fmt.Sprintf("%s-%d", version, i), Pool: "s", Version: version, State: membership.StateLive})
		}
	}
	return out
}

// Guards against a move from a version that was refused, or that was never accepted, because
// it has more upstreams than the one that serves.
func TestMoveStartsFromServingVersion(t *testing.T) {
	done := State{Service: "s", From: "v1", To: "v2", Phase: PhaseDone}
	undone := State{Service: "s", From: "v1", To: "v2", Phase: PhaseUndone}
	running := State{Service: "s", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.04}
	undoneTwice := State{Service: "s", From: "v1", To: "v3", Phase: PhaseUndone, Refused: []string{"v2"}}
	for name, c := range map[string]struct {
		previous State
		counts   map[string]int
		to, from string
		refused  []string
	}{
		"first move":                        {State{}, map[string]int{"v1": 2, "v2": 3}, "v2", "v1", nil},
		"first move, no other version":      {State{}, map[string]int{"v2": 3}, "v2", "", nil},
		"first move, as many of two":        {State{}, map[string]int{"v1": 2, "v0": 2}, "v2", "v0", nil},
		"after an accepted version":         {done, map[string]int{"v1": 9, "v2": 2, "v3": 2}, "v3", "v2", nil},
		"after a refused version":           {undone, map[string]int{"v1": 2, "v2": 9, "v3": 2}, "v3", "v1", []string{"v2"}},
		"the refused version again":         {undone, map[string]int{"v1": 2, "v2": 9}, "v2", "v1", nil},
		"the serving version":               {undone, map[string]int{"v1": 2, "v2": 9}, "v1", "v1", []string{"v2"}},
		"before the running move has ended": {running, map[string]int{"v1": 2, "v2": 9, "v3": 2}, "v3", "v1", nil},
		"back, before the move has ended":   {running, map[string]int{"v1": 2, "v2": 9}, "v1", "v1", nil},
		"after two refused versions":        {undoneTwice, map[string]int{"v1": 1, "v2": 4, "v3": 5, "v4": 2}, "v4", "v1", []string{"v2", "v3"}},
		"the first of two refused ones":     {undoneTwice, map[string]int{"v1": 1, "v2": 4, "v3": 5}, "v2", "v1", []string{"v3"}},
		"the serving version is gone":       {undone, map[string]int{"v2": 9, "v3": 2}, "v3", "v3", []string{"v2"}},
		"gone, and another was superseded":  {running, map[string]int{"v2": 9, "v3": 2}, "v3", "v2", nil},
	} {
		for range 20 {
			next, ok := c.previous.next(Declaration{Service: "s", To: c.to, Within: time.Second}, versionedUpstreams(c.counts), time.UnixMilli(5))
			assert.Equal(t, next.From, c.from, name)
			assert.Equal(t, ok, c.from != "", name)
			assert.Assert(t, slices.Equal(next.Refused, c.refused), "%s: refused %v", name, next.Refused)
		}
	}
}

// Guards against refused requests while upstreams of a version that was not refused stand
// idle, and against a refused version that gets requests because no other is left.
func TestRoutingWithoutServingVersion(t *testing.T) {
	running := State{From: "v1", To: "v3", Phase: PhaseRunning, Share: 0.04, Refused: []string{"v2"}}
	undone := State{From: "v1", To: "v3", Phase: PhaseUndone, Refused: []string{"v2"}}
	done := State{From: "v1", To: "v3", Phase: PhaseDone, Share: 1, Refused: []string{"v2"}}
	for name, c := range map[string]struct {
		state  State
		counts map[string]int
		from   string
		share  float64
	}{
		"it is there":                      {running, map[string]int{"v1": 1, "v3": 9}, "v1", 0.04},
		"the new one takes over":           {running, map[string]int{"v2": 9, "v3": 2}, "v1", 1},
		"the new one has not started":      {running, map[string]int{"v2": 9, "v0": 1}, "v0", 0.04},
		"all others were refused":          {undone, map[string]int{"v2": 9, "v3": 2}, "v1", 0},
		"one was not refused":              {undone, map[string]int{"v2": 9, "v3": 2, "v0": 1}, "v0", 0},
		"the accepted one has vanished":    {done, map[string]int{"v1": 1, "v2": 3}, "v1", 1},
		"accepted, a third was not judged": {done, map[string]int{"v2": 3, "v4": 1}, "v4", 1},
	} {
		s := c.state.routed(c.counts)
		assert.Equal(t, s.From, c.from, name)
		assert.Equal(t, s.Share, c.share, name)
	}
}

// orderFixture is a holder whose orders and upstreams tests change.
type orderFixture struct {
	store        *objecttest.Store
	ledger       *Ledger
	declarations *fakeDeclarations
	follower     *Follower
	controller   *Controller
	counts       map[string]int
}

func newOrderFixture() *orderFixture {
	f := &orderFixture{store: objecttest.New(), declarations: &fakeDeclarations{}, counts: map[string]int{"v1": 4}}
	f.restartAll()
	return f
}

// restartAll replaces all daemons, so that only the store remembers.
func (f *orderFixture) restartAll() {
	f.ledger = NewLedger()
	upstreams := func() []membership.Instance { return versionedUpstreams(f.counts) }
	f.follower = newReadingFollower(f.store, upstreams)
	f.controller = newHolderController(f.store, f.ledger, f.declarations)
	f.controller.opts.Upstreams, f.controller.opts.Known = upstreams, f.follower.Known
	f.controller.opts.OnChange = f.follower.ApplyWritten
}

// order orders a version, whose upstreams start.
func (f *orderFixture) order(t *testing.T, version string, within time.Duration) {
	if f.counts[version] == 0 {
		f.counts[version] = 4
	}
	f.declarations.moves = []Declaration{{Name: "s", Service: "s", To: version, Within: within}}
	f.pass(t, 3)
}

func (f *orderFixture) pass(t *testing.T, count int) {
	for range count {
		time.Sleep(judgeInterval)
		f.controller.reconcile(t.Context())
		f.follower.reconcile(t.Context())
	}
}

// undo lets the new version fail until it is undone.
func (f *orderFixture) undo(t *testing.T, version string) {
	f.ledger.Set("d/p", map[string]Tally{Key("s", version): {Failures: 20}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
	f.pass(t, 2)
	assert.Equal(t, f.declarations.reported[len(f.declarations.reported)-1], PhaseUndone)
	f.declarations.moves[0].Ended = true
}

// assertRouted checks which versions the requests go to.
func (f *orderFixture) assertRouted(t *testing.T, from, to string) {
	t.Helper()
	s := f.follower.RoutedStates()["s"]
	assert.Equal(t, s.From, from)
	assert.Equal(t, s.To, to)
	assert.Assert(t, s.Share < testShare, "share %g", s.Share)
}

// Guards against a version that was just taken back, or not yet judged, and gets most requests
// after the operator's next order, while the version that served before stands idle.
func TestNextOrderKeepsServingVersion(t *testing.T) {
	const within = 12 * time.Second
	for name, play := range map[string]func(*testing.T, *orderFixture){
		"next after a refused one": func(t *testing.T, f *orderFixture) {
			f.counts["v2"] = 9
			f.undo(t, "v2")
			f.order(t, "v3", within)
			f.assertRouted(t, "v1", "v3")
		},
		"next before the first has ended": func(t *testing.T, f *orderFixture) {
			f.counts["v2"] = 9
			f.order(t, "v3", within)
			f.assertRouted(t, "v1", "v3")
		},
		"two bad ones": func(t *testing.T, f *orderFixture) {
			f.undo(t, "v2")
			f.order(t, "v3", within)
			f.undo(t, "v3")
			f.order(t, "v4", within)
			f.assertRouted(t, "v1", "v4")
		},
		"all daemons restart in between": func(t *testing.T, f *orderFixture) {
			f.counts["v2"] = 9
			f.undo(t, "v2")
			f.restartAll()
			f.order(t, "v3", within)
			f.assertRouted(t, "v1", "v3")
		},
		"the store comes back without the move": func(t *testing.T, f *orderFixture) {
			backup := objecttest.New().Backup()
			f.counts["v2"] = 9
			f.undo(t, "v2")
			f.store.Restore(backup)
			f.order(t, "v3", within)
			f.assertRouted(t, "v1", "v3")
		},
		"the serving version again": func(t *testing.T, f *orderFixture) {
			f.undo(t, "v2")
			f.order(t, "v1", within)
			s := f.follower.RoutedStates()["s"]
			assert.Equal(t, s.From, "v1")
			assert.Equal(t, s.To, "v1")
			f.pass(t, int(within/judgeInterval))
			assert.Equal(t, f.declarations.reported[len(f.declarations.reported)-1], PhaseDone)
		},
		"the refused one again": func(t *testing.T, f *orderFixture) {
			f.undo(t, "v2")
			f.order(t, "v2", 2*within)
			f.assertRouted(t, "v1", "v2")
			assert.Equal(t, f.follower.RoutedStates()["s"].Phase, PhaseRunning)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOrderFixture()
				f.order(t, "v2", within)
				f.assertRouted(t, "v1", "v2")
				play(t, f)
			})
		})
	}
}

// Guards against a refused version that gets all requests as soon as the serving one has no
// upstreams left, and against one that is kept away after the serving one is back.
func TestRefusedVersionStaysAwayAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOrderFixture()
		f.order(t, "v2", 12*time.Second)
		f.undo(t, "v2")
		delete(f.counts, "v1")
		f.pass(t, 20)
		f.assertRouted(t, "v1", "v2")
		f.counts["v0"] = 1
		f.pass(t, 20)
		f.assertRouted(t, "v0", "v2")
		f.counts["v1"] = 4
		f.pass(t, 2)
		f.assertRouted(t, "v1", "v2")
	})
}
