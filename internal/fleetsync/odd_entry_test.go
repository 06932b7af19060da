package fleetsync

import (
	"encoding/json"
	"fmt"
	"strings"
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

// Guards against an odd entry of another writer, large or nested deeply, that makes the feed to
// other daemons too large for a message or unreadable there; and against a feed of many valid
// entries that does not fit into a message.
func TestFeedHoldsNoOddEntries(t *testing.T) {
	store := objecttest.New()
	u := NewUpstreamSync(UpstreamOptions{
		Store: watchStore{store}, Kind: "servers", ReaderRank: func() int { return 0 },
		Decode: func(o *objectclient.Object) (membership.Instance, error) {
			if !strings.HasPrefix(string(o.Value), `"`) {
				return membership.Instance{}, errors.NotValidf("entry")
			}
			return membership.Instance{Name: o.Name, State: membership.StateLive}, nil
		},
		Apply: func([]membership.Instance) {}, Now: time.Now, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	put := func(name, value string) {
		_, err := store.Put(t.Context(), "servers", name, objectclient.AnyVersion, json.RawMessage(value))
		assert.NilError(t, err)
	}
	put("first", `"x"`)
	u.step(t.Context())
	since, _, _ := u.Position()
	put("deep", strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000))
	put("large", `[`+strings.Repeat("1,", 100_000)+`1]`)
	put("good", `"x"`)
	u.step(t.Context())
	feed := u.Feed(since)
	assert.Assert(t, feed.Complete)
	assert.Equal(t, len(feed.Changes), 3)
	text, err := json.Marshal(feed)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < maxFeedBytes, "%d bytes", len(text))
	for i := range maxFeedChanges / 2 {
		put(fmt.Sprintf("long-%d", i), `"`+strings.Repeat("x", 1000)+`"`)
	}
	u.step(t.Context())
	assert.Assert(t, !u.Feed(since).Complete)
}
