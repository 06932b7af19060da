package versionmove

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
)

// Guards against a version that was judged bad and gets requests again after the store came
// back from a copy in which the move is still running, or does not exist.
func TestVerdictHoldsAfterRestore(t *testing.T) {
	for _, copied := range []string{"running", "missing"} {
		t.Run(copied, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, ledger := objecttest.New(), NewLedger()
				backup := store.Backup()
				declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}}
				follower := newReadingFollower(store, upstreams)
				c := newHolderController(store, ledger, declarations)
				c.opts.OnChange = follower.ApplyWritten
				c.opts.Known = follower.Known
				c.reconcile(t.Context())
				c.reconcile(t.Context())
				assertCanary(t, follower)
				if copied == "running" {
					backup = store.Backup()
				}
				ledger.Set("d/p", map[string]Tally{Key("s", "v2"): {Failures: 20}, Key("s", "v1"): {Answers: 400, FirstMs: 20_000}})
				c.reconcile(t.Context())
				assert.Equal(t, follower.States()["s"].Phase, PhaseUndone)

				store.Restore(backup)
				// Another daemon holds the duty; it knows of the move what its follower knows.
				next := newHolderController(store, NewLedger(), declarations)
				next.opts.OnChange, next.opts.Known = c.opts.OnChange, c.opts.Known
				for range 20 {
					next.reconcile(t.Context())
					follower.reconcile(t.Context())
					assert.Equal(t, follower.States()["s"].Phase, PhaseUndone)
					time.Sleep(judgeInterval)
				}
				assert.Equal(t, declarations.reported[len(declarations.reported)-1], PhaseUndone)
			})
		})
	}
}
