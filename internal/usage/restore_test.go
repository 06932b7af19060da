package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
)

// Guards against a window that is reported with other counts by the next holder after the
// store came back from a copy that lacks the record of the first report, and against one
// that is not reported although its counts are known, or cannot have been reported before.
func TestReportsOfWindowAreIdenticalAfterRestore(t *testing.T) {
	for name, isTold := range map[string]bool{"told": true, "not told": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.New()
				first, second := newDutyHolder(store), newDutyHolder(store)
				window := first.counter.Window(time.Now())
				first.ledger.Merge("d1", map[int64]Counts{window: {"w": 40}, window + 2: {"w": 7}})
				second.ledger.Merge("d1", map[int64]Counts{window: {"w": 41}, window + 2: {"w": 7}})
				backup := store.Backup()
				time.Sleep(10 * time.Second)
				first.fence = 1
				first.reconcile(t.Context())
				assert.Equal(t, len(first.sender.reports), 1)
				store.Restore(backup)
				first.storeSince, second.storeSince = time.Now(), time.Now()
				if isTold {
					second.finals.Merge(first.finals.Windows())
				}
				second.fence = 2
				for range 30 {
					second.reconcile(t.Context())
					time.Sleep(reconcileInterval)
				}
				reported := map[int64]int64{}
				for _, r := range second.sender.reports {
					reported[r.window] = r.counts["w"]
				}
				want := map[int64]int64{window + 2: 7}
				if isTold {
					want[window] = 40
				}
				assert.DeepEqual(t, reported, want)

				// The record is stored again, so that later holders do not depend on memory.
				third := newDutyHolder(store)
				third.ledger.Merge("d1", map[int64]Counts{window: {"w": 42}})
				third.storeSince, third.fence = second.storeSince, 3
				third.reconcile(t.Context())
				for _, r := range third.sender.reports {
					assert.Equal(t, r.counts["w"], want[r.window])
				}
			})
		})
	}
}

// Guards against other counts of a window that replace those that became final first.
func TestFirstFinalCountsAreRetained(t *testing.T) {
	f := NewFinals()
	f.Merge(map[int64]FinalCounts{7: {Counts: Counts{"w": 2}, Revision: 20}})
	f.Merge(map[int64]FinalCounts{7: {Counts: Counts{"w": 3}, Revision: 1 << 41}})
	f.Merge(map[int64]FinalCounts{7: {Counts: Counts{"w": 1}, Revision: 10}})
	final, ok := f.Get(7)
	assert.Assert(t, ok)
	assert.Equal(t, final.Counts["w"], int64(1))
	f.Merge(map[int64]FinalCounts{7 + retainedWindows + 1: {}})
	_, ok = f.Get(7)
	assert.Assert(t, !ok)
}
