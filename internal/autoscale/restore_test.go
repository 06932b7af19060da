package autoscale

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// recordingSender counts the orders.
type recordingSender struct{ orders int }

// OrderUpstreams implements Sender.
func (s *recordingSender) OrderUpstreams(context.Context, int64, string, string, int, bool) error {
	s.orders++
	return nil
}

// Guards against orders that are given again, and a capacity that is not stored any more,
// when a holder gets the duty back after the store came back from a copy without it.
func TestHolderKeepsOrdersAcrossRestore(t *testing.T) {
	store, sender := objecttest.New(), &recordingSender{}
	holder := fleetconfig.NewHolder()
	now := time.Unix(1000, 0)
	holder.Apply(&fleetconfig.Config{Version: 1, Services: map[string]*fleetconfig.Service{"s": {Name: "s", Autoscale: bounds}}}, now)
	fence, isHeld := int64(1), true
	c := New(Options{
		Config: holder, Store: store, Sender: sender, IsPaused: func(string) bool { return false }, IsEvacuated: func(string) bool { return false },
		Upstreams: func() []membership.Instance {
			return []membership.Instance{{Name: "u", Pool: "s", Domain: "a", State: membership.StateLive}}
		},
		LatencySummary: func(string) LatencySummary { return LatencySummary{Median: 3, LateShare: 0.9, Requests: 500} },
		Held:           func() (int64, bool) { return fence, isHeld }, Now: func() time.Time { return now },
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	backup := store.Backup()
	pass := func() {
		c.reconcile(t.Context())
		now = now.Add(reconcileInterval)
	}
	for range 40 {
		pass()
	}
	before := c.planners["s"]
	_, err := store.Get(t.Context(), capacityKind, "s")
	assert.NilError(t, err)

	store.Restore(backup)
	isHeld = false
	pass()
	restored, err := objectclient.NewRevision(1, 5)
	assert.NilError(t, err)
	fence, isHeld = int64(restored), true
	pass()
	assert.Assert(t, c.planners["s"] == before, "the orders were forgotten")
	_, err = store.Get(t.Context(), capacityKind, "s")
	assert.NilError(t, err, "the capacity was not stored again")

	isHeld = false
	pass()
	fence, isHeld = fence+1, true
	pass()
	assert.Assert(t, c.planners["s"] != before, "another daemon may have held the duty within the era")
}
