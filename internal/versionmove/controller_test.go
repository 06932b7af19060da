package versionmove

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// board holds declared moves and records what was told.
type board struct {
	moves []Declared
	told  []Phase
}

// Moves implements Declarations.
func (b *board) Moves(context.Context) ([]Declared, error) { return b.moves, nil }

// Tell implements Declarations.
func (b *board) Tell(_ context.Context, _ Declared, phase Phase) error {
	b.told = append(b.told, phase)
	return nil
}

func upstreams() []membership.Instance {
	return []membership.Instance{
		{Name: "a", Pool: "s", Version: "v1", State: membership.StateLive},
		{Name: "b", Pool: "s", Version: "v1", State: membership.StateLive},
		{Name: "c", Pool: "s", Version: "v2", State: membership.StateLive},
	}
}

// newHolder returns the Controller of a daemon that has the duty.
func newHolder(store *objecttest.Store, ledger *Ledger, b *board) *Controller {
	return NewController(ControllerOptions{
		Declarations: b, Store: store, Ledger: ledger, Upstreams: upstreams, Now: time.Now,
		Held: func() (int64, bool) { return 1, true }, Logger: telemetry.Discard(),
	})
}

// Guards against a move that a new holder begins again, gives another deadline, or
// leaves undecided, and against daemons that do not follow it.
func TestMoveGoesOnWithTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ledger := objecttest.New(), NewLedger()
		b := &board{moves: []Declared{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		follower := &Follower{Store: store, Upstreams: upstreams, Direct: func() bool { return true }, Now: time.Now, Logger: telemetry.Discard()}
		first := newHolder(store, ledger, b)
		first.reconcile(t.Context())
		first.reconcile(t.Context())
		follower.reconcile(t.Context())
		assert.Equal(t, follower.States()["s"].Share, canaryShare)
		assert.Assert(t, follower.Moving("s"))
		time.Sleep(10 * time.Second)
		ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Answers: 40, FirstMs: 2000}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		second := newHolder(store, ledger, b)
		second.reconcile(t.Context())
		time.Sleep(3 * time.Second)
		second.reconcile(t.Context())
		follower.reconcile(t.Context())
		assert.Equal(t, follower.States()["s"].Phase, Done)
		assert.Equal(t, follower.States()["s"].Share, 1.0)
		assert.Equal(t, b.told[len(b.told)-1], Done)
	})
}

// The pattern: the holder of the duties dies in the middle of a move. Guards against a
// next holder that waits anew, and so until the deadline, although the new version was
// seen to work for long enough.
func TestNextHolderDoesNotWaitAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ledger := objecttest.New(), NewLedger()
		b := &board{moves: []Declared{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
		first := newHolder(store, ledger, b)
		first.reconcile(t.Context())
		first.reconcile(t.Context())
		time.Sleep(7 * time.Second)
		ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Answers: manyAnswers, FirstMs: 5000}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
		second := newHolder(store, ledger, b)
		second.reconcile(t.Context())
		assert.Equal(t, b.told[len(b.told)-1], Done)
	})
}
