package fleetsync

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// errStopWatch ends a watch of eventStore.
const errStopWatch = errors.ConstError("end of the events")

// eventStore is an in-memory store whose watches return the events at once.
type eventStore struct{ *objecttest.Store }

// WatchOnce implements WatchStore.
func (s eventStore) WatchOnce(ctx context.Context, kind string, since objectclient.Revision, _ time.Duration, fn func(objectclient.Event) error) (objectclient.Revision, error) {
	err := s.Watch(ctx, since, []string{kind}, func(e objectclient.Event) error {
		if e.Type == objectclient.EventBookmark {
			since = max(since, e.Revision)
			return errStopWatch
		}
		return fn(e)
	})
	if errors.Is(err, errStopWatch) {
		return since, nil
	}
	return 0, err
}

// restoredUpstreams is an UpstreamSync with the list that it applied last.
type restoredUpstreams struct {
	*UpstreamSync
	store   *objecttest.Store
	now     time.Time
	applied map[string]string
}

func newRestoredUpstreams() *restoredUpstreams {
	u := &restoredUpstreams{store: objecttest.New(), now: time.Unix(1000, 0)}
	u.UpstreamSync = NewUpstreamSync(UpstreamOptions{
		Store: eventStore{u.store}, Kind: "servers", ReaderRank: func() int { return 0 },
		Decode: func(o *objectclient.Object) (membership.Instance, error) {
			instance := membership.Instance{Name: o.Name}
			return instance, json.Unmarshal(o.Value, &instance.State)
		},
		Apply: func(list []membership.Instance) {
			u.applied = map[string]string{}
			for _, i := range list {
				u.applied[i.Name] = i.State
			}
		},
		Now: func() time.Time { return u.now }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	return u
}

func (u *restoredUpstreams) put(t *testing.T, name, state string) {
	_, err := u.store.Put(t.Context(), "servers", name, objectclient.AnyVersion, json.RawMessage(`"`+state+`"`))
	assert.NilError(t, err)
}

// advance runs steps for a time.
func (u *restoredUpstreams) advance(t *testing.T, d time.Duration) {
	for until := u.now.Add(d); u.now.Before(until); u.now = u.now.Add(100 * time.Millisecond) {
		_ = u.step(t.Context())
		u.removeExpired()
	}
}

// Guards against upstreams that are lost, or known to leave or to be gone and used again,
// after the store came back from a copy, and against changes that are missed since then.
func TestUpstreamsAfterRestore(t *testing.T) {
	u := newRestoredUpstreams()
	for _, name := range []string{"stays", "leaves", "goes"} {
		u.put(t, name, membership.StateLive)
	}
	u.advance(t, time.Second)
	backup := u.store.Backup()
	for range 20 {
		u.put(t, "stays", membership.StateLive)
	}
	u.put(t, "new", membership.StateLive)
	u.put(t, "leaves", membership.StateLeaving)
	assert.NilError(t, u.store.Delete(t.Context(), "servers", "goes", objectclient.AnyVersion))
	u.advance(t, time.Second)
	want := map[string]string{"stays": "live", "new": "live", "leaves": "leaving"}
	assert.DeepEqual(t, u.applied, want)

	u.store.Restore(backup)
	u.advance(t, 500*time.Millisecond)
	assert.DeepEqual(t, u.applied, want)
	// The upstreams that exist write their entries again.
	u.put(t, "new", membership.StateLive)
	u.advance(t, 500*time.Millisecond)
	u.put(t, "stays", membership.StateLeaving)
	u.advance(t, 3*time.Second)
	assert.DeepEqual(t, u.applied, map[string]string{"stays": "leaving", "new": "live", "leaves": "leaving"})
}

// Guards against an evacuation that ends, or does not end, because the store came back from
// a copy that is older than it.
func TestEvacuationsAfterRestore(t *testing.T) {
	e := newTestEvacuationSync(0)
	e.opts.Store = eventStore{e.store}
	advance := func(d time.Duration) {
		for until := e.now.Add(d); e.now.Before(until); e.now = e.now.Add(100 * time.Millisecond) {
			e.step(t.Context())
		}
	}
	advance(time.Second)
	backup := e.store.Backup()
	for range 20 {
		_, err := e.store.Put(t.Context(), "other", "filler", objectclient.AnyVersion, json.RawMessage(`1`))
		assert.NilError(t, err)
	}
	e.declare(t, "a")
	advance(time.Second)
	assert.Assert(t, e.Includes("a"))
	e.store.Restore(backup)
	advance(time.Second)
	assert.Assert(t, e.Includes("a"), "the evacuation ended before the operator could write it again")
	e.declare(t, "a")
	advance(5 * time.Second)
	assert.Assert(t, e.Includes("a"))
	e.declare(t, "b")
	assert.NilError(t, e.store.Delete(t.Context(), "evacuations", "a", objectclient.AnyVersion))
	advance(time.Second)
	assert.Assert(t, e.Includes("b") && !e.Includes("a"), "changes after the restore are missed")
}

// Guards against a configuration that is replaced or confirmed by an older one from a copy
// of the store, against a store that then counts as unreachable, and against the newest one
// that is not confirmed when the operator has written it again.
func TestOlderConfigurationOfRestoredStore(t *testing.T) {
	c := newTestConfigSync()
	c.readerRank = 0
	c.put(t, "7")
	c.step(t.Context())
	backup := c.store.Backup()
	c.put(t, "9")
	c.step(t.Context())
	_, before := c.holder.Current()
	c.store.Restore(backup)
	for range 3 {
		c.now = c.now.Add(time.Second)
		wait := c.step(t.Context())
		assert.Equal(t, wait, retryInterval)
	}
	_, after := c.holder.Current()
	assert.Equal(t, c.version(), int64(9))
	assert.Equal(t, after, before, "the newest configuration was confirmed by an older one")
	assert.Assert(t, !c.IsStoreFailing())
	c.put(t, "9")
	c.now = c.now.Add(time.Second)
	c.step(t.Context())
	_, after = c.holder.Current()
	assert.Equal(t, after, c.now)
	c.put(t, "10")
	c.step(t.Context())
	assert.Equal(t, c.version(), int64(10))
}
