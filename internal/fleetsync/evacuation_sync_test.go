package fleetsync

import (
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
		Store: watchStore{e.store}, Kind: "evacuations", ReaderRank: func() int { return e.rank }, OnChange: func() { e.changes++ },
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
