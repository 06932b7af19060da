package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that is used again after it said that it leaves, because a list
// has it as ready, has lost it for a moment or is older than its process, or because another
// daemon repeats what an earlier process said; and against a new process under the same name
// that is not used.
func TestUpstreamsOwnStatementHolds(t *testing.T) {
	statement := func(generation int64) LeavingUpstream {
		return LeavingUpstream{Name: "u0000", Address: testUpstream(0).Address, Generation: generation}
	}
	list := func(table *Table, startedAtMs ...int64) {
		instances := []Instance{testUpstream(1)}
		for _, ms := range startedAtMs {
			u := testUpstream(0)
			u.StartedAtMs = ms
			instances = append(instances, u)
		}
		table.ApplyList(InstanceList{Revision: 1, Instances: instances})
	}
	for name, c := range map[string]struct {
		steps  func(*Table)
		usable bool
	}{
		"listed again":                    {func(t *Table) { list(t, 5); t.RecordLeaving(statement(5)); list(t, 5) }, false},
		"lost and listed again":           {func(t *Table) { list(t, 5); t.RecordLeaving(statement(5)); list(t); list(t, 5) }, false},
		"older list":                      {func(t *Table) { list(t, 5); t.RecordLeaving(statement(5)); list(t, 4) }, false},
		"heard before it is listed":       {func(t *Table) { list(t); t.RecordLeaving(statement(5)); list(t, 5) }, false},
		"newer than the list":             {func(t *Table) { list(t, 4); t.RecordLeaving(statement(5)); list(t, 4) }, false},
		"new process":                     {func(t *Table) { list(t, 5); t.RecordLeaving(statement(5)); list(t, 6) }, true},
		"old statement after new process": {func(t *Table) { list(t, 6); t.RecordLeaving(statement(5)) }, true},
		"both leave":                      {func(t *Table) { list(t, 5); t.RecordLeaving(statement(5)); list(t, 6); t.RecordLeaving(statement(6)) }, false},
		"without start times":             {func(t *Table) { list(t, 0); t.RecordLeaving(statement(0)); list(t, 0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{time.Unix(1000, 0)}
			table := NewTable(Daemon{Name: "d"}, Options{AbsenceGrace: -1, Now: func() time.Time { return clock.now }})
			c.steps(table)
			u, ok := table.Upstream("u0000")
			assert.Assert(t, ok)
			assert.Equal(t, table.IsUsable(u), c.usable)
			assert.Equal(t, len(table.Upstreams("p")) == 2, c.usable)
			assert.Equal(t, len(table.LeavingUpstreams()) == 0, c.usable)
			assert.Assert(t, c.usable || !table.RecordLeaving(table.LeavingUpstreams()[0]), "the statement is news twice")
		})
	}
}

// Guards against another upstream at the address of one that said that it leaves, and the
// same name at another address, that are not used; and against an upstream that is withheld
// and counts as leaving.
func TestOnlyTheProcessThatSaidItLeaves(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyList(testList(1, testUpstream(0)))
	assert.Assert(t, table.RecordLeaving(LeavingUpstream{Name: "u0000", Address: testUpstream(0).Address}))
	assert.Assert(t, table.Outlook("p").AllLeaving)
	sameAddress, sameName, withheld := testUpstream(1), testUpstream(0), testUpstream(2)
	sameAddress.Address = testUpstream(0).Address
	sameName.Address = "10.9.9.9"
	withheld.Withheld = true
	table.ApplyList(testList(2, sameAddress, sameName, withheld))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0000", "u0001"})
	table.ApplyList(testList(3, withheld))
	u, ok := table.Upstream(withheld.Name)
	assert.Assert(t, ok && !u.Leaving && !table.IsUsable(u))
	assert.Assert(t, !table.Outlook("p").AllLeaving && !table.Outlook("unknown").AllLeaving)
}
