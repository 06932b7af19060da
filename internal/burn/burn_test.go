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

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func chatClass(string) *api.Class {
	return &api.Class{
		Target:       api.Target{FirstToken: api.Duration(time.Second), Within: 0.95},
		Completeness: 0.99,
	}
}

func recorder(daemon string) *burn.Recorder {
	return burn.NewRecorder(burn.Options{Daemon: daemon, ClassOf: chatClass})
}

func answered(firstToken time.Duration) burn.Observation {
	return burn.Observation{
		Class: "chat", Workspace: "kitchen", Version: "v1", Domain: "a", Upstream: "r1",
		FirstToken: firstToken, Total: 2 * firstToken, Outcome: burn.OutcomeOK,
	}
}

func goal(t *testing.T, r *burn.Report, name string) burn.GoalReport {
	t.Helper()
	for _, g := range r.Classes[0].Goals {
		if g.Name == name {
			return g
		}
	}
	t.Fatalf("no goal %s", name)
	return burn.GoalReport{}
}

// TestRefusedWorkIsNotGood guards against a burn rate that improves when
// requests are shed, and against shed requests that count as incomplete.
func TestRefusedWorkIsNotGood(t *testing.T) {
	r := recorder("a")
	for range 90 {
		r.Observe(start, answered(100*time.Millisecond))
	}
	for range 10 {
		r.Observe(start, burn.Observation{Class: "chat", Workspace: "kitchen", Outcome: burn.OutcomeShed})
	}
	report, err := r.Report(start)
	assert.NilError(t, err)
	first := goal(t, report, "firstToken")
	assert.Assert(t, math.Abs(first.Burn[0].Rate-2) < 1e-9, "10%% bad of 5%% allowed, got %g", first.Burn[0].Rate)
	assert.Assert(t, math.Abs(first.BudgetLeft+1) < 1e-9)
	complete := goal(t, report, "completeness")
	assert.Equal(t, complete.Burn[0].Requests, int64(90))
	assert.Equal(t, complete.Burn[0].Bad, int64(0))
}

// TestWindowsForget guards against a window that keeps old requests, and
// against a long window that loses them early.
func TestWindowsForget(t *testing.T) {
	r := recorder("a")
	r.Observe(start, answered(2*time.Second))
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
		report, err := r.Report(start.Add(c.after))
		assert.NilError(t, err)
		for i, w := range goal(t, report, "firstToken").Burn {
			assert.Equal(t, w.Requests, c.want[i], "window %s after %s", w.Window, c.after)
		}
	}
}

// TestMergeEqualsOneRecorder guards against merging by averages: whatever way
// requests are spread over daemons, the merged report must equal the one of a
// daemon that saw them all.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := recorder("all")
		parts := []*burn.Recorder{recorder("a"), recorder("b"), recorder("c")}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			o := answered(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			o.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			o.Outcome = rapid.SampledFrom([]burn.Outcome{burn.OutcomeOK, burn.OutcomeFailed, burn.OutcomeShed}).Draw(t, "outcome")
			all.Observe(start, o)
			parts[rapid.IntRange(0, 2).Draw(t, "daemon")].Observe(start, o)
		}
		exports := make([]*burn.Export, len(parts))
		for i, p := range parts {
			encoded, err := json.Marshal(p.Export(start))
			assert.NilError(t, err)
			exports[i] = &burn.Export{}
			assert.NilError(t, json.Unmarshal(encoded, exports[i]))
		}
		merged, err := burn.Merge(exports...)
		assert.NilError(t, err)
		got, err := burn.NewReport(merged)
		assert.NilError(t, err)
		want, err := all.Report(start)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Classes, want.Classes)
	})
}

// TestNamesTheSpender guards against a report that blames the largest
// workspace for the failures of a version with little traffic.
func TestNamesTheSpender(t *testing.T) {
	r := recorder("a")
	for i := range 1000 {
		o := answered(100 * time.Millisecond)
		if i%20 == 0 {
			o.Version, o.Outcome = "v2", burn.OutcomeFailed
		}
		r.Observe(start, o)
	}
	report, err := r.Report(start)
	assert.NilError(t, err)
	complete := goal(t, report, "completeness")
	assert.Equal(t, complete.Spenders[0].Dimension, "version")
	assert.Equal(t, complete.Spenders[0].Value, "v2")
	assert.Equal(t, complete.Spenders[0].BadRate, 1.0)
	assert.Equal(t, complete.Alert, burn.AlertTicket)
}

// TestDamagedExportIsRefused guards against a peer's damaged histogram that
// ends the daemon or is counted as empty.
func TestDamagedExportIsRefused(t *testing.T) {
	r := recorder("a")
	r.Observe(start, answered(time.Second))
	e := r.Export(start)
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
		_, err = burn.Merge(e, r.Export(start))
		assert.NilError(t, err)
	}
}

// TestPageLoadsNothing guards against a page that needs the network or that
// runs text from a workspace's name.
func TestPageLoadsNothing(t *testing.T) {
	r := recorder("a")
	o := answered(2 * time.Second)
	o.Workspace = "<script>alert(1)</script>"
	r.Observe(start, o)
	report, err := r.Report(start)
	assert.NilError(t, err)
	var page bytes.Buffer
	assert.NilError(t, report.WriteHTML(&page))
	for _, forbidden := range []string{"<script", "http://", "https://", "@import", "url("} {
		assert.Assert(t, !strings.Contains(page.String(), forbidden), "%s", forbidden)
	}
	assert.Assert(t, strings.Contains(page.String(), `<path class="line" d="M`))
}
