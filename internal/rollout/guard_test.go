package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
)

// Guards against judging a version as failing because its runner was reclaimed,
// and against missing a version that crashes its runner repeatedly.
func TestLossesOfAnUpstreamCountOnce(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	now := start
	m := &configsync.Move{Name: "m", Spec: &api.VersionMove{From: "v1", To: "v2", Deadline: api.Duration(time.Minute)},
		Status: &api.MoveStatus{Phase: api.MoveRunning, Share: 0.5, DeclaredMs: start.UnixMilli(), DeadlineMs: start.Add(time.Minute).UnixMilli()}}
	g := NewGuard(GuardOptions{Daemon: "d", StoreNow: func() (time.Time, bool) { return now, true }})
	sample := func(version string, lost bool, startedAt time.Time) {
		g.Observe(dispatch.MoveSample{Move: m, Version: version, Route: "r", Upstream: "u-" + version, Latency: time.Millisecond,
			Failed: lost, Lost: lost, StartedAt: startedAt, EndedAt: now})
	}
	for range 200 {
		sample("v1", false, now)
		sample("v2", false, now)
	}
	now = now.Add(time.Second)
	for range 50 {
		sample("v2", true, now.Add(-500*time.Millisecond))
	}
	assert.Equal(t, g.Share(m), 0.5, "50 attempts lost with one upstream must count as one event")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		sample("v1", false, now)
		sample("v2", true, now.Add(-50*time.Millisecond))
	}
	assert.Equal(t, g.Share(m), 0.0, "20 losses of an upstream within 2 s must count against the version")
}

// Guards against a verdict that has no effect on other daemons, is applied to
// another move of the same name, or is lost.
func TestImportedVerdictPersists(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	g := NewGuard(GuardOptions{Daemon: "d", StoreNow: func() (time.Time, bool) { return now, true }})
	declared := func(at int64) *configsync.Move {
		return &configsync.Move{Name: "m", Spec: &api.VersionMove{From: "v1", To: "v2"},
			Status: &api.MoveStatus{Phase: api.MoveRunning, Share: 1, DeclaredMs: at, DeadlineMs: at + 60_000}}
	}
	v := Verdict{Move: "m", DeclaredMs: 999_000, Reason: "fails", Daemon: "other"}
	assert.Assert(t, g.Import(v))
	assert.Assert(t, !g.Import(v))
	assert.Equal(t, g.Share(declared(999_000)), 0.0)
	assert.Equal(t, g.Share(declared(999_500)), 1.0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		g.Observe(dispatch.MoveSample{Move: declared(999_000), Version: "v2", Route: "r", Latency: time.Millisecond})
	}
	assert.Equal(t, g.Share(declared(999_000)), 0.0)
	report := g.Report("m", 999_000, 0)
	assert.Equal(t, report.Verdict.Reason, "fails")
	assert.Assert(t, len(report.Rows) > 0)
}

// Guards against undoing the move of a good version because of a difference of a
// few milliseconds, which is insignificant for targets of tens of milliseconds.
func TestMillisecondDifferenceIsNotSlowness(t *testing.T) {
	var newer, older Histogram
	for range 1000 {
		newer.Add(4 * time.Millisecond)
		older.Add(2 * time.Millisecond)
	}
	score, _ := rankSum(&newer, &older, 0)
	assert.Equal(t, score, 0.0)
	var slow Histogram
	slow.Add(40 * time.Millisecond)
	score, _ = rankSum(&slow, &older, sameSlotShift)
	assert.Assert(t, score > 0)
}
