package usage

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

const errStale = errors.ConstError("stale")

// recordingSender records the reports that it is given, or returns err if set.
type recordingSender struct {
	reports []sentReport
	err     error
}

type sentReport struct {
	fence, window int64
	counts        map[string]int64
}

// ReportUsage implements Sender.
func (s *recordingSender) ReportUsage(_ context.Context, fence, window int64, counts map[string]int64) error {
	if s.err != nil {
		return s.err
	}
	s.reports = append(s.reports, sentReport{fence, window, maps.Clone(counts)})
	return nil
}

type dutyHolder struct {
	*Reporter
	sender  *recordingSender
	counter *Counter
	ledger  *Ledger
	finals  *Finals
	fence   int64
	// storeSince is since when the era of the store is known.
	storeSince time.Time
	// collect is called when the reporter requests the counts of the other daemons.
	collect func()
}

func newDutyHolder(store *objecttest.Store) *dutyHolder {
	h := &dutyHolder{sender: &recordingSender{}, counter: NewCounter(5*time.Second, time.Now), ledger: NewLedger(), finals: NewFinals()}
	h.Reporter = NewReporter(ReporterOptions{
		Store: store, Sender: h.sender, Counter: h.counter, Ledger: h.ledger, Finals: h.finals, Now: time.Now,
		StoreSince: func() time.Time { return h.storeSince }, OnFinal: func() {},
		Held:   func() (int64, bool) { return h.fence, h.fence > 0 },
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
		Collect: func(bool) {
			if h.collect != nil {
				h.collect()
			}
		},
		StaleFence: func(err error) bool { return errors.Is(err, errStale) },
	})
	return h
}

// Guards against different reports of the same window, which occur if a new holder has
// other counts than its predecessor.
func TestReportsOfWindowAreIdentical(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		first, second := newDutyHolder(store), newDutyHolder(store)
		window := first.counter.Window(time.Now())
		first.ledger.Merge("d1", map[int64]Counts{window: {"w": 40}})
		second.ledger.Merge("d1", map[int64]Counts{window: {"w": 41}})
		time.Sleep(10 * time.Second)
		first.fence = 1
		first.sender.err = errors.New("no response")
		first.reconcile(t.Context())
		second.fence = 2
		second.reconcile(t.Context())
		assert.Equal(t, len(second.sender.reports), 1)
		assert.Equal(t, second.sender.reports[0].counts["w"], int64(40))
		first.sender.err = nil
		first.reconcile(t.Context())
		assert.DeepEqual(t, first.sender.reports[0].counts, second.sender.reports[0].counts)
	})
}

// Guards against a window that is reported without the last counts of some daemons.
// This occurs if there are so many daemons that polling all of them takes longer than
// a report may wait.
func TestCountsAreCollectedAfterWindowEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newDutyHolder(objecttest.New())
		h.fence = 1
		time.Sleep(time.Until(time.Now().Truncate(5 * time.Second).Add(5 * time.Second)))
		window := h.counter.Window(time.Now())
		h.ledger.Merge("d1", map[int64]Counts{window: {"w": 1}})
		h.collect = func() {
			if h.counter.Window(time.Now()) > window {
				h.ledger.Merge("d1", map[int64]Counts{window: {"w": 90}})
			}
		}
		for range 16 {
			time.Sleep(reconcileInterval)
			h.reconcile(t.Context())
		}
		assert.Equal(t, len(h.sender.reports), 1)
		assert.Equal(t, h.sender.reports[0].counts["w"], int64(90))
	})
}

// Guards against a holder that reuses a fencing token that was refused as stale.
func TestStaleFenceIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newDutyHolder(objecttest.New())
		window := h.counter.Window(time.Now())
		h.ledger.Merge("d1", map[int64]Counts{window: {"w": 1}})
		time.Sleep(10 * time.Second)
		h.fence, h.sender.err = 1, errStale
		h.reconcile(t.Context())
		h.sender.err = nil
		h.reconcile(t.Context())
		assert.Equal(t, len(h.sender.reports), 0)
		h.fence = 2
		h.reconcile(t.Context())
		assert.Equal(t, len(h.sender.reports), 1)
	})
}

// Guards against a late or repeated report that lowers or doubles counts, and against
// losing the counts of a terminated process.
func TestLedger(t *testing.T) {
	l := NewLedger()
	l.Merge("d1/p1", map[int64]Counts{7: {"w": 5, "v": 1}})
	l.Merge("d1/p1", map[int64]Counts{7: {"w": 4}})
	l.Merge("d1/p1", map[int64]Counts{7: {"w": 6}})
	l.Merge("d1/p2", map[int64]Counts{7: {"w": 2}})
	assert.DeepEqual(t, l.Total(7), Counts{"w": 8, "v": 1})
}
