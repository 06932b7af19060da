package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
)

// Guards against a window that is reported with other counts by the next holder after the
// store came back from a copy that lacks the record of the first report.
func TestReportsOfWindowAreIdenticalAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		first, second := newDutyHolder(store), newDutyHolder(store)
		window := first.counter.Window(time.Now())
		first.ledger.Merge("d1", map[int64]Counts{window: {"w": 40}})
		second.ledger.Merge("d1", map[int64]Counts{window: {"w": 41}})
		backup := store.Backup()
		time.Sleep(10 * time.Second)
		first.fence = 1
		first.reconcile(t.Context())
		assert.Equal(t, len(first.sender.reports), 1)
		store.Restore(backup)
		second.fence = 2
		second.reconcile(t.Context())
		for _, r := range second.sender.reports {
			assert.DeepEqual(t, r.counts, first.sender.reports[0].counts)
		}
	})
}
