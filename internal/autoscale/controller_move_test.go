package autoscale

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// Guards against upstreams that take no requests and are counted as capacity: those of the
// next version before the switch, those of the losing one after it, and those of another move.
func TestObserveCountsByVersion(t *testing.T) {
	upstream := func(version string, class membership.InstanceClass, state string) membership.Instance {
		return membership.Instance{Pool: "s", Version: version, Domain: "a", Class: class, State: state}
	}
	upstreams := []membership.Instance{
		upstream("v1", membership.OnDemand, membership.StateLive),
		upstream("v1", membership.Reclaimable, membership.StateLive),
		upstream("v1", membership.OnDemand, membership.StateLeaving),
		upstream("v2", membership.OnDemand, membership.StateLive),
		upstream("v3", membership.OnDemand, membership.StateLive),
	}
	onDemand, reclaimable := Place{"a", OnDemand}, Place{"a", Reclaimable}
	for name, c := range map[string]struct {
		move                                       VersionMove
		live, liveReclaimable, next, others, total int
	}{
		"no move":    {VersionMove{}, 3, 1, 0, 0, 4},
		"running":    {VersionMove{Serving: "v1", Next: "v2"}, 1, 1, 1, 2, 2},
		"ended":      {VersionMove{Serving: "v2", IsSwitched: true}, 1, 0, 0, 2, 1},
		"to itself":  {VersionMove{Serving: "v1", Next: "v1"}, 1, 1, 0, 2, 2},
		"to unknown": {VersionMove{Serving: "v1", Next: "v4"}, 1, 1, 0, 2, 2},
	} {
		controller := New(Options{
			Move: func(string) VersionMove { return c.move }, IsEvacuated: func(string) bool { return false }, Now: time.Now,
		})
		o := controller.observe(&fleetconfig.Service{Name: "s", Autoscale: bounds}, upstreams)
		assert.Equal(t, o.Live[onDemand], c.live, name)
		assert.Equal(t, o.Live[reclaimable], c.liveReclaimable, name)
		assert.Equal(t, o.Next[onDemand], c.next, name)
		assert.Equal(t, o.Others[onDemand], c.others, name)
		assert.Equal(t, o.total(), c.total, name)
	}
}

// Guards against a daemon that judges the room at a switch by a need from the time when it held
// the duty.
func TestTargetIsKnownWithDutyOnly(t *testing.T) {
	now, isHeld := time.Unix(1000, 0), true
	holder := fleetconfig.NewHolder()
	holder.Apply(&fleetconfig.Config{Version: 1, Services: map[string]*fleetconfig.Service{"s": {Name: "s", Autoscale: bounds}}}, now)
	c := New(Options{
		Config: holder, Store: objecttest.New(), Sender: &recordingSender{}, IsPaused: func(string) bool { return false }, IsEvacuated: func(string) bool { return false },
		Upstreams: func() []membership.Instance {
			return []membership.Instance{{Name: "u", Pool: "s", Domain: "a", State: membership.StateLive}}
		},
		LatencySummary: func(string) LatencySummary { return LatencySummary{} },
		Held:           func() (int64, bool) { return 1, isHeld }, Now: func() time.Time { return now },
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	assert.Equal(t, c.Target("s"), 0)
	c.reconcile(t.Context())
	assert.Equal(t, c.Target("s"), 1)
	assert.Equal(t, c.Target("other"), 0)
	isHeld = false
	c.reconcile(t.Context())
	assert.Equal(t, c.Target("s"), 0)
}
