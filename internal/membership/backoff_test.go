package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a backoff that a shorter one or a list ends, one that outlives the process that
// asked for it, and a pool that looks as if it had an upstream soon while all of them back off.
func TestBackoffs(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := NewTable(Daemon{Name: "d", Region: "r0"}, Options{AbsenceGrace: -1, Now: func() time.Time { return clock.now }})
	old, other := testUpstream(0), testUpstream(1)
	old.StartedAtMs = 5
	list := func(instances ...Instance) { table.ApplyList(InstanceList{Instances: instances}) }
	list(old, other)
	backoff := func(name string, d time.Duration) {
		u, _ := table.Upstream(name)
		table.RecordBackoff(u, d)
	}
	backoff("u0000", 3*time.Second)
	backoff("u0000", time.Second)
	list(old, other)
	clock.now = clock.now.Add(2 * time.Second)
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001"})
	assert.Assert(t, table.Outlook("p").BackoffUntil.IsZero())
	backoff("u0001", 10*time.Second)
	assert.Equal(t, len(table.Upstreams("p")), 0)
	assert.Equal(t, table.Outlook("p").BackoffUntil, clock.now.Add(time.Second))
	table.RecordLeaving(LeavingUpstream{Name: "u0001", Address: other.Address})
	assert.Equal(t, table.Outlook("p"), Outlook{BackoffUntil: clock.now.Add(time.Second)})
	before, _ := table.Upstream("u0000")
	fresh := old
	fresh.StartedAtMs = 6
	list(fresh, other)
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0000"})
	// A backoff that the earlier process asked for does not bind the new one.
	table.RecordBackoff(before, time.Minute)
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0000"})
	backoff("u0000", time.Second)
	assert.Equal(t, len(table.Upstreams("p")), 0)
	clock.now = clock.now.Add(time.Second)
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0000"})
}
