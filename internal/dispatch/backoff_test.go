package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against an upstream that asked for a backoff with a refusal and stays in the choice.
func TestBackoffOfUpstreamReachesTable(t *testing.T) {
	f := newFixture(t, -1)
	table := membership.NewTable(membership.Daemon{Name: "d", Region: "r"}, membership.Options{})
	list := membership.InstanceList{Revision: 1}
	for _, name := range []string{"a", "b"} {
		list.Instances = append(list.Instances, membership.Instance{
			Name: name, Address: name, Region: "r", Role: membership.RoleUpstream, Pool: "p", Version: "v1", State: membership.StateLive,
		})
	}
	table.ApplyList(list)
	d := New(Options{Config: f.config, Table: table, Evidence: TableEvidenceRecorder{Table: table}})
	c, err := d.Choose(t.Context(), f.request("first", 1))
	assert.NilError(t, err)
	c.Done(Result{Status: StatusBusy, Backoff: time.Minute})
	for range 20 {
		next, err := d.Choose(t.Context(), f.request("next", 1))
		assert.NilError(t, err)
		assert.Assert(t, next.Upstream.Name != c.Upstream.Name)
		next.Done(Result{Status: StatusOK})
	}
}
