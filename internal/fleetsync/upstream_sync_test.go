package fleetsync

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/peering"
	"rattantide/internal/telemetry"
)

// drainTime is how long an upstream that has reported that it is leaving still accepts
// requests, in the deployments where that is shortest.
const drainTime = 2 * time.Second

// Guards against requests to an upstream that left while all relays were cut off from the
// other daemons: these must read the store themselves in time.
func TestUpstreamsAreReadInTimeWithoutRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	store := objecttest.New()
	put := func(state string) {
		_, err := store.Put(t.Context(), "servers", "u", objectclient.AnyVersion, json.RawMessage(`"`+state+`"`))
		assert.NilError(t, err)
	}
	var applied []membership.Instance
	u := NewUpstreamSync(UpstreamOptions{
		Store: watchStore{store}, Kind: "servers", ReaderRank: func() int { return NotReader },
		Decode: func(o *objectclient.Object) (membership.Instance, error) {
			return membership.Instance{Name: o.Name, State: string(o.Value)}, nil
		},
		Apply: func(list []membership.Instance) { applied = list },
		Now:   func() time.Time { return now }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	put("live")
	u.step(t.Context())
	for range 10 {
		now = now.Add(400 * time.Millisecond)
		revision, _, _ := u.Position()
		u.ApplyFeed(peering.Feed{Since: revision, Complete: true}, revision, now)
		u.step(t.Context())
	}
	lastFeed := now
	put("leaving")
	for range 50 {
		if applied[0].State == `"leaving"` {
			break
		}
		now = now.Add(u.step(t.Context()))
		assert.Assert(t, now.Sub(lastFeed) < drainTime, "not known after %v", now.Sub(lastFeed))
	}
	assert.Equal(t, applied[0].State, `"leaving"`)
}

// Guards against requests to an upstream that left while this daemon alone was cut off, just
// before it reached the store again: its entry did not lapse in an outage of the store.
func TestUpstreamThatLeftDuringOwnCutIsDroppedInTime(t *testing.T) {
	u := newRestoredUpstreams()
	u.put(t, "stays", membership.StateLive)
	u.put(t, "goes", membership.StateLive)
	u.advance(t, time.Second)
	u.store.SetOutage(true)
	u.advance(t, 12*time.Second)
	u.store.SetOutage(false)
	assert.NilError(t, u.store.Delete(t.Context(), "servers", "goes", objectclient.AnyVersion))
	leftAt := u.now
	u.now = u.now.Add(200 * time.Millisecond)
	for u.applied["goes"] != "" {
		u.advance(t, 100*time.Millisecond)
		assert.Assert(t, u.now.Sub(leftAt) < drainTime, "still used after %v", u.now.Sub(leftAt))
	}
	assert.Equal(t, u.applied["stays"], membership.StateLive)
}
