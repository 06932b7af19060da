package fleetdaemon

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/runner"
)

const (
	// limitWindow is the time over which the requests to an upstream are counted.
	limitWindow = 4 * time.Second
	// limitOvershoot and limitSlack are what operators allow above a limit.
	limitOvershoot = 1.5
	limitSlack     = 5
)

// mostInWindow returns the largest number of requests to a runner in some limitWindow of a
// span of time.
func mostInWindow(r *runner.Runner, from, to time.Time) int {
	var times []time.Time
	for _, e := range r.Executions() {
		if e.StartedAt.After(from) && e.StartedAt.Before(to) {
			times = append(times, e.StartedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against an upstream that gets far more requests from all daemons together than
// the limit that it names, against requests that fail for that, and against a limit that
// outlives its end.
func TestUpstreamThatNamesLimit(t *testing.T) {
	const daemons, runners, limit = 5, 6, 1.6
	f := startCrashFleet(t, daemons, runners)
	limited := f.runners[:2]
	for _, r := range limited {
		r.SetLimit(limit)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range daemons {
		callers.Go(func() { f.run(ctx, i, 25*time.Millisecond, false) })
	}
	from := time.Now().Add(contactBound)
	time.Sleep(contactBound + 2*limitWindow)
	to := time.Now()
	for _, r := range limited {
		most := mostInWindow(r, from, to)
		t.Logf("a limit of %.1f a second: at most %d requests in %s", limit, most, limitWindow)
		assert.Check(t, float64(most) <= limitOvershoot*limit*limitWindow.Seconds()+limitSlack, "%d requests", most)
		assert.Check(t, most > 0, "no requests at all")
		r.SetLimit(0)
	}
	time.Sleep(contactBound + limitWindow)
	cancel()
	callers.Wait()
	for _, r := range limited {
		most := mostInWindow(r, to.Add(contactBound), time.Now())
		assert.Check(t, most > limitSlack*4, "%d requests after the limit ended", most)
	}
	served := f.servedShare(from)
	t.Logf("%.3f of the requests were served", served)
	assert.Check(t, served >= 0.99, "%.3f of the requests were served", served)
}
