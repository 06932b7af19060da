package fleetsync

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/peering"
	"rattantide/internal/telemetry"
)

// evacuationStore is an in-memory store whose watches return at once.
type evacuationStore struct{ *objecttest.Store }

// WatchOnce implements WatchStore.
func (s evacuationStore) WatchOnce(ctx context.Context, kind string, since int64, _ time.Duration, fn func(objectclient.Event) error) (int64, error) {
	list, err := s.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	for i := range list.Items {
		if o := &list.Items[i]; o.Version > since {
			if err := fn(objectclient.Event{Type: objectclient.EventPut, Object: o}); err != nil {
				return 0, err
			}
		}
	}
	if len(list.Items) == 0 && list.Revision > since {
		return list.Revision, fn(objectclient.Event{Type: objectclient.EventDelete, Object: &objectclient.Object{Kind: kind}})
	}
	return max(list.Revision, since), nil
}

type testEvacuationSync struct {
	*EvacuationSync
	store   *objecttest.Store
	now     time.Time
	rank    int
	changes int
}

func newTestEvacuationSync(rank int) *testEvacuationSync {
	e := &testEvacuationSync{store: objecttest.New(), now: time.Unix(1000, 0), rank: rank}
	e.EvacuationSync = NewEvacuationSync(EvacuationOptions{
		Store: evacuationStore{e.store}, Kind: "evacuations", ReaderRank: func() int { return e.rank }, OnChange: func() { e.changes++ },
		Now: func() time.Time { return e.now }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	return e
}

func (e *testEvacuationSync) declare(t *testing.T, domain string) {
	_, err := e.store.Put(t.Context(), "evacuations", domain, objectclient.AnyVersion, json.RawMessage(`{}`))
	assert.NilError(t, err)
}

// Guards against an evacuation that is not followed, that does not end, or that a daemon
// forgets while it cannot reach the store.
func TestEvacuationIsFollowed(t *testing.T) {
	e := newTestEvacuationSync(0)
	assert.Assert(t, e.Report() == nil, "nothing is known before the first read")
	e.step(t.Context())
	e.declare(t, "a")
	e.step(t.Context())
	e.step(t.Context())
	assert.Assert(t, e.Includes("a") && !e.Includes("b"))
	e.store.SetOutage(true)
	e.now = e.now.Add(time.Minute)
	e.step(t.Context())
	assert.Assert(t, e.Includes("a"))
	e.store.SetOutage(false)
	assert.NilError(t, e.store.Delete(t.Context(), "evacuations", "a", objectclient.AnyVersion))
	e.step(t.Context())
	e.step(t.Context())
	assert.Assert(t, !e.Includes("a"))
	assert.Equal(t, e.changes, 2)
}

// Guards against a daemon without the store that misses an evacuation, and against an old
// report that ends one.
func TestEvacuationFromOtherDaemons(t *testing.T) {
	e := newTestEvacuationSync(NotReader)
	e.store.SetOutage(true)
	e.ApplyReport(&peering.Evacuation{Revision: 7, Domains: []string{"a"}, AgeMs: 500}, e.now)
	assert.Assert(t, e.Includes("a"))
	e.ApplyReport(&peering.Evacuation{Revision: 6}, e.now)
	assert.Assert(t, e.Includes("a"))
	assert.Equal(t, e.Report().AgeMs, int64(500), "ages add up")
	e.ApplyReport(&peering.Evacuation{Revision: 8}, e.now)
	assert.Assert(t, !e.Includes("a"))
}
