package burn_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/api"
	"rattantide/internal/burn"
)

var startTime = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func lookupChatClass(string) *api.Class {
	return &api.Class{
		Target:       api.Target{FirstToken: api.Duration(time.Second), Within: 0.95},
		Completeness: 0.99,
	}
}

func newRecorder(daemon string) *burn.Recorder {
	return burn.NewRecorder(burn.Options{Daemon: daemon, LookupClass: lookupChatClass})
}

func okObservation(firstToken time.Duration) burn.Observation {
	return burn.Observation{
		Class: "chat", Workspace: "kitchen", Version: "v1", Domain: "a", Upstream: "r1",
		FirstToken: firstToken, Total: 2 * firstToken, Outcome: burn.OutcomeOK,
	}
}

func findGoal(t *testing.T, r *burn.Report, name string) burn.GoalReport {
	t.Helper()
	for _, g := range r.Classes[0].Goals {
		if g.Name == name {
			return g
		}
	}
	t.Fatalf("no goal %s", name)
	return burn.GoalReport{}
}

// TestShedRequestsAreBad guards against a burn rate that improves when requests
// are shed, and against shed requests that count against completeness.
func TestShedRequestsAreBad(t *testing.T) {
	r := newRecorder("a")
	for range 90 {
		r.Observe(startTime, okObservation(100*time.Millisecond))
	}
	for range 10 {
		r.Observe(startTime, burn.Observation{Class: "chat", Workspace: "kitchen", Outcome: burn.OutcomeShed})
	}
	report, err := r.Report(startTime)
	assert.NilError(t, err)
	firstToken := findGoal(t, report, "firstToken")
	assert.Assert(t, math.Abs(firstToken.Burn[0].Rate-2) < 1e-9, "expected rate 2 for 10%% bad of 5%% allowed, got %g", firstToken.Burn[0].Rate)
	assert.Assert(t, math.Abs(firstToken.BudgetLeft+1) < 1e-9)
	completeness := findGoal(t, report, "completeness")
	assert.Equal(t, completeness.Burn[0].Requests, int64(90))
	assert.Equal(t, completeness.Burn[0].Bad, int64(0))
}

// TestWindowsDropOldRequests guards against a window that includes requests
// older than its span, and against a long window that drops them too early.
func TestWindowsDropOldRequests(t *testing.T) {
	r := newRecorder("a")
	r.Observe(startTime, okObservation(2*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  [4]int64
	}{
		{0, [4]int64{1, 1, 1, 1}},
		{6 * time.Minute, [4]int64{0, 1, 1, 1}},
		{61 * time.Minute, [4]int64{0, 0, 1, 1}},
		{7 * time.Hour, [4]int64{0, 0, 0, 1}},
		{73 * time.Hour, [4]int64{0, 0, 0, 0}},
	} {
		report, err := r.Report(startTime.Add(c.after))
		assert.NilError(t, err)
		for i, w := range findGoal(t, report, "firstToken").Burn {
			assert.Equal(t, w.Requests, c.want[i], "window %s after %s", w.Window, c.after)
		}
	}
}

// TestReusedBucketIsEmpty guards against a reused bucket that still contains the
// histograms or the spenders of its previous interval.
func TestReusedBucketIsEmpty(t *testing.T) {
	r := newRecorder("a")
	r.Observe(startTime, okObservation(5*time.Second))
	later := okObservation(2 * time.Second)
	later.Workspace = "engravers"
	r.Observe(startTime.Add(72*time.Hour), later)
	report, err := r.Report(startTime.Add(72 * time.Hour))
	assert.NilError(t, err)
	for _, w := range report.Classes[0].Measures[0].Windows {
		assert.Equal(t, w.Count, int64(1), w.Window)
		assert.Assert(t, w.MaxMs < 2100, "%s: %g ms", w.Window, w.MaxMs)
	}
	for _, s := range findGoal(t, report, "firstToken").Spenders {
		assert.Assert(t, s.Value != "kitchen", "%v", s)
	}
}

// TestMergeEqualsOneRecorder guards against merging by averages: however requests
// are distributed over daemons, the merged report must equal the report of a
// single daemon that records all of them.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single := newRecorder("all")
		recorders := []*burn.Recorder{newRecorder("a"), newRecorder("b"), newRecorder("c")}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			o := okObservation(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			o.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			o.Outcome = rapid.SampledFrom([]burn.Outcome{burn.OutcomeOK, burn.OutcomeFailed, burn.OutcomeShed}).Draw(t, "outcome")
			single.Observe(startTime, o)
			recorders[rapid.IntRange(0, 2).Draw(t, "daemon")].Observe(startTime, o)
		}
		exports := make([]*burn.Export, len(recorders))
		for i, r := range recorders {
			encoded, err := json.Marshal(r.Export(startTime))
			assert.NilError(t, err)
			exports[i] = &burn.Export{}
			assert.NilError(t, json.Unmarshal(encoded, exports[i]))
		}
		merged, err := burn.Merge(exports...)
		assert.NilError(t, err)
		mergedReport, err := burn.NewReport(merged)
		assert.NilError(t, err)
		wantReport, err := single.Report(startTime)
		assert.NilError(t, err)
		assert.DeepEqual(t, mergedReport.Classes, wantReport.Classes)
	})
}

// TestSpendersRankSmallBadVersionFirst guards against a report that attributes
// the failures of a version with little traffic to the largest workspace.
func TestSpendersRankSmallBadVersionFirst(t *testing.T) {
	r := newRecorder("a")
	for i := range 1000 {
		o := okObservation(100 * time.Millisecond)
		if i%20 == 0 {
			o.Version, o.Outcome = "v2", burn.OutcomeFailed
		}
		r.Observe(startTime, o)
	}
	report, err := r.Report(startTime)
	assert.NilError(t, err)
	completeness := findGoal(t, report, "completeness")
	assert.Equal(t, completeness.Spenders[0].Dimension, "version")
	assert.Equal(t, completeness.Spenders[0].Value, "v2")
	assert.Equal(t, completeness.Spenders[0].BadRate, 1.0)
	assert.Equal(t, completeness.Alert, burn.AlertTicket)
}

// TestMergeRejectsDamagedExport guards against a damaged histogram from a peer
// that crashes the daemon or is treated as empty.
func TestMergeRejectsDamagedExport(t *testing.T) {
	r := newRecorder("a")
	r.Observe(startTime, okObservation(time.Second))
	e := r.Export(startTime)
	histograms := e.Classes["chat"].Windows["1h"].Histograms
	histograms["firstToken"] = histograms["firstToken"][:len(histograms["firstToken"])/2]
	_, err := burn.Merge(e)
	assert.ErrorContains(t, err, `class "chat" of [a]: window "1h"`)
	for _, text := range []string{
		`{"classes":{"chat":null}}`, `{"classes":{"chat":{"windows":{"1h":null}}}}`,
		`{"classes":{"chat":{"goals":[{"name":"answer"}],"windows":{"3d":{"counts":{"bad":[0,0,1,0]},"spenders":{"domain":{"a":null}}}}}}}`,
	} {
		e := &burn.Export{}
		assert.NilError(t, json.Unmarshal([]byte(text), e))
		_, err := burn.NewReport(e)
		assert.NilError(t, err)
		_, err = burn.Merge(e, r.Export(startTime))
		assert.NilError(t, err)
	}
}

// TestPageIsSelfContained guards against a page that loads resources over the
// network, and against one that executes a script in a workspace's name.
func TestPageIsSelfContained(t *testing.T) {
	r := newRecorder("a")
	o := okObservation(2 * time.Second)
	o.Workspace = "<script>alert(1)</script>"
	r.Observe(startTime, o)
	report, err := r.Report(startTime)
	assert.NilError(t, err)
	var page bytes.Buffer
	assert.NilError(t, report.WriteHTML(&page))
	for _, forbidden := range []string{"<script", "http://", "https://", "@import", "url("} {
		assert.Assert(t, !strings.Contains(page.String(), forbidden), "%s", forbidden)
	}
	assert.Assert(t, strings.Contains(page.String(), `<path class="line" d="M`))
}
