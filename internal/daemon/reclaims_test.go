package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

// Guards against reclaim notices that do not raise the risk of their failure
// domain, against notices that are counted again at each membership change, and
// against a planned stop that is counted as a reclaim.
func TestNoticesRaiseTheReclaimRisk(t *testing.T) {
	table := membership.NewTable(membership.Daemon{Name: "d1"}, membership.Options{})
	var instances []membership.Instance
	for _, domain := range []string{"a", "b", "c"} {
		instances = append(instances, membership.Instance{
			Name: "e-" + domain, Address: "127.0.0.1:1", Domain: domain, Role: membership.RoleUpstream, Pool: "p",
			Class: membership.Reclaimable, State: membership.StateLive,
		})
	}
	table.ApplyList(membership.InstanceList{Revision: 1, Instances: instances})
	trackers := &routing.Trackers{}
	r := newReclaimCounter(table, trackers)
	now := time.Now()
	risks := func() map[string]float64 {
		r.reconcile(now)
		out := map[string]float64{}
		for _, c := range trackers.Pool("p").Candidates(&routing.Request{Now: now}, table.AllUpstreams("p"), nil) {
			out[c.Name] = c.ReclaimsPerSecond
		}
		return out
	}
	before := risks()
	table.ApplyNotices(membership.Notice{Seq: 1, Domain: "a", Kind: membership.NoticeReclaim, DeadlineMs: 30_000})
	table.Announce(membership.Announcement{Name: "e-b", Address: "127.0.0.1:1", Domain: "b", Role: membership.RoleUpstream})
	noticed := risks()
	assert.Assert(t, noticed["e-a"] > before["e-a"])
	assert.Equal(t, noticed["e-b"], before["e-b"])
	assert.Equal(t, noticed["e-c"], before["e-c"])
	assert.DeepEqual(t, risks(), noticed)
	table.ApplyNotices(membership.Notice{Seq: 2, Instance: "e-c", Kind: membership.NoticeReclaim, DeadlineMs: 30_000})
	assert.Assert(t, risks()["e-c"] > before["e-c"])
}
