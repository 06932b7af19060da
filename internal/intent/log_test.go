package intent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

// newTestLog returns a Log without peers that is stopped at the end of the
// test.
func newTestLog(t testing.TB, store objectclient.Store, change func(*Options)) *Log {
	options := Options{
		Store:  store,
		Table:  membership.NewTable(membership.Daemon{Name: "d", Address: "d:1", Region: "r"}, membership.Options{}),
		Shards: 1, WritesPerSecond: 1000, WriteBurst: 1000,
	}
	if change != nil {
		change(&options)
	}
	l := NewLog(options)
	t.Cleanup(func() {
		l.cancel()
		l.tasks.Wait()
	})
	return l
}

func key(value string) Key { return Key{Workspace: "w", Route: "orders", Value: value} }

// begin calls Log.Begin with a timeout of 10 s of the bubble's time.
func begin(l *Log, value, nonce string) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return l.Begin(ctx, key(value), "digest", nonce)
}

func flush(t *testing.T, l *Log) {
	t.Helper()
	assert.NilError(t, l.Flush(t.Context()))
	// Flush returns when the queue is empty; the last batch may still be in
	// flight.
	synctest.Wait()
}

// TestRecordedOutcomeIsReturned guards against a second dispatch under a key
// that has an outcome, and against a lost outcome.
func TestRecordedOutcomeIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		first, second := newTestLog(t, store, nil), newTestLog(t, store, nil)
		grant, err := begin(first, "k", "n1")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		first.Finish(key("k"), "n1", Outcome{Execution: ExecutionDone, Status: 201, Body: []byte("ok")})
		flush(t, first)

		grant, err = begin(second, "k", "n2")
		assert.NilError(t, err)
		assert.DeepEqual(t, grant, Grant{Outcome: Outcome{Execution: ExecutionDone, Status: 201, Body: []byte("ok")}})

		_, err = second.Begin(t.Context(), key("k"), "other digest", "n3")
		assert.ErrorIs(t, err, ErrKeyReused)
	})
}

// TestDuplicateWaitsAndRunsAfterNotRun guards against two concurrent
// dispatches under one key, and against a key that stays blocked after a
// call that did not run.
func TestDuplicateWaitsAndRunsAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLog(t, objecttest.New(), nil)
		grant, err := begin(l, "k", "n1")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		grants := make(chan Grant, 1)
		go func() {
			grant, _ := begin(l, "k", "n2")
			grants <- grant
		}()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(grants), 0)
		l.Finish(key("k"), "n1", Outcome{Execution: ExecutionNotRun})
		assert.DeepEqual(t, <-grants, Grant{Granted: true})
	})
}

// TestOutcomeIsUnknownWhenDispatcherIsGone guards against an endless wait,
// or a second dispatch, when the dispatching daemon is gone.
func TestOutcomeIsUnknownWhenDispatcherIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		dead := newTestLog(t, store, func(o *Options) {
			o.Table = membership.NewTable(membership.Daemon{Name: "dead", Address: "x:1"}, membership.Options{})
		})
		grant, err := begin(dead, "k", "n1")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		grant, err = begin(newTestLog(t, store, nil), "k", "n2")
		assert.NilError(t, err)
		assert.DeepEqual(t, grant, Grant{Outcome: Outcome{Execution: ExecutionUnknown}})
	})
}

// TestOutageRefusesAndLateWriteIsWithdrawn guards against a dispatch during
// an outage, and against a key that stays blocked because an intent was
// written after its caller had received an error.
func TestOutageRefusesAndLateWriteIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		l := newTestLog(t, store, nil)
		store.SetOutage(true)
		_, err := begin(l, "k", "n1")
		assert.ErrorIs(t, err, objectclient.ErrUnavailable)
		store.SetOutage(false)

		store.DeferWrites(1)
		store.SetLatency(2 * time.Second)
		_, err = begin(l, "k", "n2")
		assert.ErrorIs(t, err, objectclient.ErrUnavailable)
		store.SetLatency(0)
		store.ApplyDeferredWrites()
		flush(t, l)
		grant, err := begin(l, "k", "n3")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
	})
}

// TestGrantedAfterLostResponse guards against mistaking this daemon's own
// write for another daemon's after the response was lost.
func TestGrantedAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		l := newTestLog(t, store, nil)
		store.LoseAnswers(1)
		grant, err := begin(l, "k", "n1")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
	})
}

// TestSealedSegmentsAndRetention guards against sealed outcomes that are
// removed before their retention ends or stored beyond it, and against a
// head that grows without bound.
func TestSealedSegmentsAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		small := func(o *Options) { o.SegmentBytes, o.Retention = 1000, time.Hour }
		l := newTestLog(t, store, small)
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o"}
		for _, name := range names {
			grant, err := begin(l, name, name)
			assert.NilError(t, err)
			assert.Assert(t, grant.Granted)
			l.Finish(key(name), name, Outcome{Execution: ExecutionDone, Status: 200})
			flush(t, l)
		}
		list, err := store.List(t.Context(), objectKind)
		assert.NilError(t, err)
		assert.Assert(t, len(list.Items) > 2, "no segment was sealed")
		fresh := newTestLog(t, store, small)
		for _, name := range names {
			grant, err := begin(fresh, name, "again "+name)
			assert.NilError(t, err)
			assert.Equal(t, grant.Outcome.Execution, ExecutionDone, name)
		}
		time.Sleep(61 * time.Minute)
		grant, err := begin(fresh, "a", "much later")
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		list, err = store.List(t.Context(), objectKind)
		assert.NilError(t, err)
		assert.Equal(t, len(list.Items), 1, "segments past the retention must be deleted")
	})
}

// TestOutcomeIsUnknownWhenCallerStopsWaiting guards against an unbounded
// wait: a caller that stops waiting for another dispatch's outcome must get
// an unknown outcome, not "not run".
func TestOutcomeIsUnknownWhenCallerStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLog(t, objecttest.New(), nil)
		_, err := begin(l, "k", "n1")
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		grant, err := l.Begin(ctx, key("k"), "digest", "n2")
		assert.Assert(t, !errors.Is(err, objectclient.ErrUnavailable))
		assert.Equal(t, grant.Outcome.Execution, ExecutionUnknown)
	})
}
