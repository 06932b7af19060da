package fleetdaemon

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
)

// drainBound is the time after an answer that says that its upstream leaves from which no
// request of the daemon that got it may reach that upstream.
const drainBound = 2 * time.Second

// plainFleet is a deployment with a pool of plain services.
type plainFleet struct {
	*deployment
	processes []*runner.Process
	runners   []*runner.Runner
}

func startPlainFleet(t *testing.T, daemons, runners int) *plainFleet {
	f := &plainFleet{deployment: startDeployment(t, daemons)}
	f.store.Remove("servers", "i-1")
	for i := range runners {
		r := &runner.Runner{ID: fmt.Sprintf("plain-%d", i)}
		p, err := runner.StartProcess(r, 400*time.Millisecond)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, p.Close()) })
		f.runners, f.processes = append(f.runners, r), append(f.processes, p)
		f.list(i, "ready", 1)
	}
	for i := range daemons {
		f.waitFor("service by daemon "+strconv.Itoa(i), func() bool {
			return f.isReady(i) && len(f.resolve(i)) == daemons && len(f.daemons[i].table.Upstreams("app")) == runners && f.call(i) == http.StatusOK
		})
	}
	return f
}

// list writes the entry of a runner.
func (f *plainFleet) list(i int, state string, born int64) {
	f.store.Set("servers", f.runners[i].ID, map[string]any{
		"service": "app", "address": f.processes[i].Address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "seqNo": 1, "born": born,
	})
}

// call sends a request to a daemon and returns the status.
func (f *plainFleet) call(daemon int) int {
	return f.requestStatus(f.daemons[daemon].settings.CallerAddress, "/x/1", "key-a")
}

// callUntil sends requests to a daemon every few milliseconds until ctx ends, and returns
// how many were not served.
func (f *plainFleet) callUntil(ctx context.Context, daemon int) (failed int) {
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return failed
		case <-ticker.C:
		}
		if status := f.call(daemon); status != http.StatusOK {
			failed++
		}
	}
}

// callAllFor sends requests to all of some daemons for a time, and returns how many were not
// served.
func (f *plainFleet) callAllFor(d time.Duration, daemons ...int) (failed int) {
	ctx, cancel := context.WithTimeout(f.t.Context(), d)
	defer cancel()
	var callers sync.WaitGroup
	var mu sync.Mutex
	for _, i := range daemons {
		callers.Go(func() {
			n := f.callUntil(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			failed += n
		})
	}
	callers.Wait()
	return failed
}

// callTogether sends some requests to a daemon at the same time, so that they are spread over
// all usable upstreams.
func (f *plainFleet) callTogether(daemon int) {
	const requests = 20
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() { f.call(daemon) })
	}
	callers.Wait()
}

// arrivedBetween returns the number of requests that reached a runner in a span of time.
func arrivedBetween(r *runner.Runner, from, to time.Time) int {
	count := 0
	for _, a := range r.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			count++
		}
	}
	return count
}

// Guards against requests to an upstream that said in an answer that it leaves, while the
// list of upstreams still has it as ready or cannot be read; against daemons that do not
// learn of it from the one that got the answer; and against a new process under the same
// name that gets no requests.
func TestUpstreamThatSaysItLeaves(t *testing.T) {
	for _, isStoreAway := range []bool{false, true} {
		t.Run(fmt.Sprintf("store away %t", isStoreAway), func(t *testing.T) {
			f := startPlainFleet(t, 3, 3)
			if isStoreAway {
				f.store.SetFaults(platformstore.Faults{Status: http.StatusServiceUnavailable})
			}
			leaving := f.runners[0]
			leaving.SetLeaving(true)
			saidAt := time.Now()
			failed := f.callAllFor(500*time.Millisecond, 0)
			assert.Assert(t, arrivedBetween(leaving, saidAt, time.Now()) > 0, "it never said that it leaves")
			bound := time.Now().Add(drainBound - 500*time.Millisecond)
			failed += f.callAllFor(drainBound, 0)
			if !isStoreAway {
				// An entry that is written again as ready does not take the statement back.
				f.list(0, "ready", 1)
			}
			failed += f.callAllFor(time.Second, 0, 1, 2)
			late := arrivedBetween(leaving, bound, time.Now())
			t.Logf("%d requests after the statement, %d failed", late, failed)
			assert.Check(t, late == 0, "%d requests reached the upstream later than %s after its statement", late, drainBound)
			assert.Check(t, failed == 0, "%d requests failed", failed)
			f.store.SetFaults(platformstore.Faults{})
			leaving.SetLeaving(false)
			f.list(0, "ready", 2)
			f.waitFor("requests to the new process", func() bool {
				before := len(leaving.Arrivals())
				f.callTogether(0)
				return len(leaving.Arrivals()) > before
			})
		})
	}
}

// Guards against requests that wait until they fail while the only upstream leaves: none of
// them can be served.
func TestOnlyUpstreamLeaves(t *testing.T) {
	f := startPlainFleet(t, 1, 1)
	f.runners[0].SetLeaving(true)
	f.call(0)
	f.waitFor("refusal", func() bool { return f.call(0) == http.StatusServiceUnavailable })
	startedAt := time.Now()
	assert.Equal(t, f.call(0), http.StatusServiceUnavailable)
	assert.Check(t, time.Since(startedAt) < time.Second, "refused after %s", time.Since(startedAt))
}
