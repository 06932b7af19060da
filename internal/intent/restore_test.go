package intent

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
)

// Guards against a call that runs a second time under its key, or whose outcome is lost,
// because the store came back from a copy that lacks the intent or its outcome.
func TestIntentsHoldAfterRestore(t *testing.T) {
	done := Outcome{Execution: ExecutionDone, Status: 201, Body: []byte("ok")}
	for _, copied := range []string{"nothing", "intent"} {
		t.Run(copied, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.New()
				backup := store.Backup()
				l := newTestLog(t, store, nil)
				grant, err := begin(l, "k", "n1")
				assert.NilError(t, err)
				assert.Assert(t, grant.Granted)
				if copied == "intent" {
					backup = store.Backup()
				}
				l.Finish(key("k"), "n1", done)
				flush(t, l)
				store.Restore(backup)

				grant, err = begin(l, "k", "n2")
				assert.NilError(t, err)
				assert.DeepEqual(t, grant, Grant{Outcome: done})
				// What was remembered is stored again, so that other daemons know it.
				grant, err = begin(newTestLog(t, store, nil), "k", "n3")
				assert.NilError(t, err)
				assert.DeepEqual(t, grant, Grant{Outcome: done})
			})
		})
	}
}
