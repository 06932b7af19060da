package versionmove

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// fakeDeclarations returns fixed moves and records the phases that were reported.
type fakeDeclarations struct {
	moves    []Declaration
	reported []Phase
	// reads counts the calls of Moves, which return err if it is set.
	reads int
	err   error
	// changed receives a value for each change. It may be nil.
	changed chan struct{}
	// reports receives each reported phase unless it is nil.
	reports chan Phase
}

// Moves implements Declarations.
func (d *fakeDeclarations) Moves(context.Context) ([]Declaration, error) {
	d.reads++
	return d.moves, d.err
}

// AwaitChange implements Declarations.
func (d *fakeDeclarations) AwaitChange(ctx context.Context) (bool, error) {
	select {
	case <-d.changed:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// ReportPhase implements Declarations.
func (d *fakeDeclarations) ReportPhase(_ context.Context, _ Declaration, phase Phase) error {
	d.reported = append(d.reported, phase)
	if d.reports != nil {
		d.reports <- phase
	}
	return nil
}

// assertCanary checks that the new version gets some requests, and fewer than operators allow
// a bad one.
func assertCanary(t *testing.T, f *Follower) {
	t.Helper()
	share := f.States()["s"].Share
	assert.Assert(t, share > 0 && share < testShare, "share %g", share)
}

func upstreams() []membership.Instance {
	return []membership.Instance{
		{Name: "a", Pool: "s", Version: "v1", State: membership.StateLive},
		{Name: "b", Pool: "s", Version: "v1", State: membership.StateLive},
		{Name: "c", Pool: "s", Version: "v2", State: membership.StateLive},
	}
}

// newReadingFollower returns a Follower that reads the store, with the real clock.
func newReadingFollower(store *objecttest.Store, upstreams func() []membership.Instance) *Follower {
	return &Follower{Store: store, Upstreams: upstreams, ReadsStore: func() bool { return true }, Now: time.Now, Logger: telemetry.Discard()}
}

// newHolderController returns the Controller of a daemon that holds the duty.
func newHolderController(store *objecttest.Store, ledger *Ledger, d *fakeDeclarations) *Controller {
	return NewController(ControllerOptions{
		Declarations: d, Store: store, Ledger: ledger, Upstreams: upstreams, Now: time.Now,
		Limits:    func() ExposureLimits { return ExposureLimits{Share: testShare, Slack: testSlack} },
		Processes: func() []string { return []string{"d/p"} },
		Held:      func() (int64, bool) { return 1, true }, Logger: telemetry.Discard(),
	})
}

// Guards against a new holder of the duty that restarts a move, changes its deadline
// or does not decide it, and against a Follower that does not apply its state.
func TestNextHolderContinuesMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ledger := objecttest.New(), NewLedger()
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		follower := newReadingFollower(store, upstreams)
		first := newHolderController(store, ledger, declarations)
		first.reconcile(t.Context())
		first.reconcile(t.Context())
		follower.reconcile(t.Context())
		assertCanary(t, follower)
		assert.Assert(t, follower.IsMoving("s"))
		time.Sleep(10 * time.Second)
		ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Answers: 40, FirstMs: 2000}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		second := newHolderController(store, ledger, declarations)
		second.reconcile(t.Context())
		time.Sleep(3500 * time.Millisecond)
		second.reconcile(t.Context())
		time.Sleep(handoverTime)
		second.reconcile(t.Context())
		follower.reconcile(t.Context())
		assert.Equal(t, follower.States()["s"].Phase, PhaseDone)
		assert.Equal(t, follower.States()["s"].Share, 1.0)
		assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseDone)
	})
}

// The holder of the duty crashes in the middle of a move. Guards against a next holder that
// restarts the time of the move, and so accepts the new version after the deadline, and
// against one that accepts it early because it has worked for some time.
func TestNextHolderKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ledger := objecttest.New(), NewLedger()
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		first := newHolderController(store, ledger, declarations)
		first.reconcile(t.Context())
		first.reconcile(t.Context())
		time.Sleep(7 * time.Second)
		ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Answers: 100, FirstMs: 5000}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		second := newHolderController(store, ledger, declarations)
		second.reconcile(t.Context())
		assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseRunning)
		time.Sleep(7*time.Second - minSwitchLead)
		second.reconcile(t.Context())
		time.Sleep(minSwitchLead / 2)
		second.reconcile(t.Context())
		assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseDone)
	})
}

// Guards against orders of upstreams in the first moments of a move: they can remove the
// upstreams of the new version before these are listed, so that the move cannot succeed.
func TestDeclaredMoveIsRunningBeforeItsUpstreams(t *testing.T) {
	declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v3", Within: 14 * time.Second}}}
	isHeld := true
	c := NewController(ControllerOptions{
		Declarations: declarations, Store: objecttest.New(), Ledger: NewLedger(), Upstreams: upstreams, Now: time.Now,
		Held: func() (int64, bool) { return 1, isHeld }, Logger: telemetry.Discard(),
	})
	assert.Assert(t, !c.IsRunning("s"))
	c.reconcile(t.Context())
	assert.Assert(t, c.IsRunning("s") && !c.IsRunning("other"))
	declarations.moves[0].Ended = true
	c.reconcile(t.Context())
	assert.Assert(t, !c.IsRunning("s"))
	declarations.moves[0].Ended = false
	c.reconcile(t.Context())
	isHeld = false
	c.reconcile(t.Context())
	assert.Assert(t, !c.IsRunning("s"))
}

// Guards against a bad version that gets requests long after the evidence against it has
// reached the holder of the duties: the bound of operators starts with its bad answers.
func TestVerdictTakesEffectSoon(t *testing.T) {
	const limit = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store, ledger := objecttest.New(), NewLedger()
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		follower := newReadingFollower(store, upstreams)
		c := newHolderController(store, ledger, declarations)
		c.opts.OnChange = follower.ApplyWritten
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = c.Run(ctx) }()
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(3*time.Second + 10*time.Millisecond)
		assertCanary(t, follower)
		ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Failures: 20}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		time.Sleep(limit)
		assert.Equal(t, follower.States()["s"].Phase, PhaseUndone)
	})
}

// Guards against a holder that burdens the store with reads during an outage, or while a
// move cannot begin.
func TestDeclarationsAreReadOnceASecond(t *testing.T) {
	declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "other", To: "v2", Within: 14 * time.Second}}}
	c := newHolderController(objecttest.New(), NewLedger(), declarations)
	for range 20 {
		c.pass(t.Context())
	}
	assert.Equal(t, declarations.reads, 20/reconcilePasses)
	declarations.reads, declarations.moves, declarations.err = 0, nil, errors.New("outage")
	for range 20 {
		c.pass(t.Context())
	}
	assert.Equal(t, declarations.reads, 20/reconcilePasses)
}

// Guards against a holder that notices an order late because the move of another service is
// running: the time limit counts from the order.
func TestOrderIsNoticedDuringOtherMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		declarations := &fakeDeclarations{
			moves:   []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}},
			changed: make(chan struct{}),
		}
		c := newHolderController(objecttest.New(), NewLedger(), declarations)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = c.Run(ctx) }()
		time.Sleep(2*judgeInterval + time.Millisecond)
		assert.Assert(t, c.IsRunning("s"))
		declarations.moves = append(declarations.moves, Declaration{Name: "other", Service: "other", To: "v2", Within: 14 * time.Second})
		select {
		case declarations.changed <- struct{}{}:
		case <-time.After(judgeInterval):
		}
		synctest.Wait()
		assert.Assert(t, c.IsRunning("other"))
	})
}
