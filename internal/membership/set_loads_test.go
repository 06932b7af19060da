package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a load report that is attributed to another process under the name, and
// against the load of an earlier process that outlives it.
func TestSetLoadsByProcess(t *testing.T) {
	table := NewTable(Daemon{Name: "d", Region: "r"}, Options{AbsenceGrace: -1})
	list := func(revision, startedAt int64) {
		table.ApplyList(InstanceList{Revision: revision, Instances: []Instance{
			{Name: "u", Address: "a", Region: "r", Role: RoleUpstream, Pool: "p", State: StateLive, StartedAtMs: startedAt},
		}})
	}
	list(1, 5)
	load := func() *Load { return table.Upstreams("p")[0].Load }
	table.SetLoads([]UpstreamLoad{{Name: "u", Address: "b", Generation: 5}, {Name: "u", Address: "a", Generation: 4}, {Name: "x", Address: "a", Generation: 5}})
	assert.Assert(t, load() == nil)
	table.SetLoads([]UpstreamLoad{{Name: "u", Address: "a", Generation: 5, Load: Load{Running: 3, Slots: 8, Pace: 2}}})
	assert.Equal(t, load().Running, 3)
	assert.Assert(t, !load().ReceivedAt.IsZero())
	list(2, 6)
	assert.Assert(t, load() == nil, "the load is that of the previous process")
}
