package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

type fakeTable struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
	outlook   membership.Outlook
}

func (f *fakeTable) Upstreams(string) []membership.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]membership.Upstream(nil), f.upstreams...)
}

// Upstream implements Table; it does not find a removed upstream.
func (f *fakeTable) Outlook(string) membership.Outlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outlook
}

func (f *fakeTable) Upstream(name string) (membership.Upstream, bool) {
	for _, u := range f.Upstreams("") {
		if u.Name == name {
			return u, true
		}
	}
	return membership.Upstream{}, false
}

func (f *fakeTable) set(upstreams []membership.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = upstreams
}

func (f *fakeTable) remove(name string) {
	var remaining []membership.Upstream
	for _, u := range f.upstreams {
		if u.Name != name {
			remaining = append(remaining, u)
		}
	}
	f.upstreams = remaining
}

type fixture struct {
	table  *fakeTable
	config *configsync.Cache
	*Dispatcher
}

// newFixture returns a Dispatcher with the upstreams u0 to u5; those with an even
// number have version v1, the others v2. share is that of a running move from v1
// to v2; if it is negative, no move is running.
func newFixture(t *testing.T, share float64) *fixture {
	f := &fixture{table: &fakeTable{}, config: configsync.NewCache()}
	for i := range 6 {
		version := "v1"
		if i%2 == 1 {
			version = "v2"
		}
		f.table.upstreams = append(f.table.upstreams, membership.Upstream{
			Name: fmt.Sprintf("u%d", i), Pool: "p", Version: version, Domain: fmt.Sprintf("d%d", i%3),
		})
	}
	f.apply(t, 1, api.KindPool, "p", api.Pool{Type: api.PoolChat, Version: "v1"}, nil)
	f.apply(t, 2, api.KindClass, "c", api.Class{Target: api.Target{FirstToken: api.Duration(time.Second)}}, nil)
	if share >= 0 {
		f.apply(t, 3, api.KindVersionMove, "m", api.VersionMove{Pool: "p", From: "v1", To: "v2", Deadline: api.Duration(time.Minute)},
			api.MoveStatus{Phase: api.MoveRunning, Share: share})
	}
	f.Dispatcher = New(Options{Config: f.config, Table: f.table})
	return f
}

// apply puts an object into the configuration.
func (f *fixture) apply(t *testing.T, version objectclient.Revision, kind api.Kind, name string, spec, status any) {
	stored := api.StoredValue{}
	var err error
	stored.Spec, err = json.Marshal(spec)
	assert.NilError(t, err)
	if status != nil {
		stored.Status, err = json.Marshal(status)
		assert.NilError(t, err)
	}
	value, err := json.Marshal(stored)
	assert.NilError(t, err)
	assert.Equal(t, f.config.Apply(objectclient.Object{Kind: string(kind), Name: name, Version: version, Value: value}), 1)
}

func (f *fixture) request(id string, attempt int) *Request {
	now := time.Now()
	return &Request{ID: id, Workspace: "w", Class: "c", Route: "r", Pool: "p", Chat: true, PromptTokens: 100,
		MaxTokens: 50, AcceptedAt: now, Deadline: now.Add(time.Minute), Attempt: attempt, Fingerprint: 7}
}

// notRunCode returns the code of err, which must be a *problem.Problem for an
// attempt that did not run.
func notRunCode(t *testing.T, err error) problem.Code {
	var p *problem.Problem
	assert.Assert(t, errors.As(err, &p), "%v", err)
	assert.Equal(t, p.Execution, problem.ExecutionNotRun)
	return p.Code
}

// Guards against a share of traffic that differs from the declared one, and
// against requests outside the share being sent to the new version.
func TestShareIsEnforced(t *testing.T) {
	for _, share := range []float64{0, 0.2, 1} {
		f := newFixture(t, share)
		counts := map[string]int{}
		for i := range 2000 {
			c, err := f.Choose(context.Background(), f.request(fmt.Sprintf("r%d", i), 1))
			assert.NilError(t, err)
			counts[c.Version]++
			c.Done(Result{Status: StatusOK, FirstToken: time.Millisecond})
		}
		actual := float64(counts["v2"]) / 2000
		assert.Assert(t, actual >= share-0.04 && actual <= share+0.04, "share %g, got %g", share, actual)
		if share == 0 || share == 1 {
			assert.Equal(t, actual, share)
		}
	}
}

// Guards against moved attempts consuming the retry budget, and against failed
// attempts that do not consume it.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, -1)
	run := func(id string, status Status) error {
		c, err := f.Choose(context.Background(), f.request(id, 1))
		assert.NilError(t, err)
		c.Done(Result{Status: status})
		c, err = f.Choose(context.Background(), f.request(id, 2))
		if err == nil {
			c.Done(Result{Status: StatusOK})
		}
		return err
	}
	for i := range 300 {
		assert.NilError(t, run(fmt.Sprintf("moved%d", i), StatusMoved))
	}
	refused := 0
	for i := range 300 {
		if err := run(fmt.Sprintf("failed%d", i), StatusError); err != nil {
			assert.Equal(t, notRunCode(t, err), problem.CodeOverloaded)
			refused++
		}
	}
	assert.Assert(t, refused >= 240 && refused <= 290, "refused %d of 300 retries at a budget of 10%%", refused)
}

// exhaustedBudget is a RepeatBudget that is used up.
type exhaustedBudget struct{}

func (exhaustedBudget) RecordFirst(string) {}
func (exhaustedBudget) Take(string) bool   { return false }

// Guards against the repeat budget refusing requests that have not reached an
// upstream yet. This occurs when half of the upstreams of a service are
// reclaimed at once and each request tries several of them.
func TestRepeatBudgetCountsOnlyReachedAttempts(t *testing.T) {
	f := newFixture(t, -1)
	f.opts.RepeatBudget = exhaustedBudget{}
	for attempt := 1; attempt <= 5; attempt++ {
		choice, err := f.Choose(t.Context(), f.request("a", attempt))
		assert.NilError(t, err)
		choice.Done(Result{Status: StatusRefused})
	}
	repeat := f.request("b", 2)
	repeat.ReachedAttempts = 1
	_, err := f.Choose(t.Context(), repeat)
	assert.Equal(t, notRunCode(t, err), problem.CodeOverloaded)
}

// Guards against hedges in a class without a hedge budget, and against counting
// the attempt that replaces one on a leaving upstream as a hedge.
func TestHedgeAndMovedAttempt(t *testing.T) {
	f := newFixture(t, -1)
	c, err := f.Choose(context.Background(), f.request("a", 1))
	assert.NilError(t, err)
	_, err = f.Choose(context.Background(), f.request("a", 2))
	assert.Equal(t, notRunCode(t, err), problem.CodeOverloaded)
	f.table.remove(c.Upstream.Name)
	_, err = f.Choose(context.Background(), f.request("a", 2))
	assert.NilError(t, err)
}

// Guards against trying a request that crashes engines on all of them, and
// against counting answered errors as crashes.
func TestQuarantine(t *testing.T) {
	f := newFixture(t, -1)
	for i, status := range []Status{StatusError, StatusError, StatusCrash, StatusCrash} {
		r := f.request(fmt.Sprintf("q%d", i), 1)
		// The first three attempts run on u0 and the last one on u4, so that the
		// request crashes two upstreams.
		if i == 3 {
			r.Exclude = []string{"u0", "u2"}
			f.table.upstreams[4].Version = "v1"
		} else {
			r.Exclude = []string{"u2", "u4"}
		}
		c, err := f.Choose(context.Background(), r)
		assert.NilError(t, err)
		c.Done(Result{Status: status})
	}
	_, err := f.Choose(context.Background(), f.request("again", 1))
	assert.Equal(t, notRunCode(t, err), problem.CodeQuarantined)
}

// Guards against quarantining requests that only ran on the same upstream as
// one that crashes it: the suspects of one crash must not share the next
// upstream.
func TestSuspectsOfOneCrashUseDifferentUpstreams(t *testing.T) {
	f := newFixture(t, -1)
	f.table.upstreams = append(f.table.upstreams, membership.Upstream{Name: "crashed", Pool: "p", Version: "v1"})
	// Without separation, routing would send all of them to u0.
	for _, busy := range []int{2, 4} {
		f.table.upstreams[busy].Load = &membership.Load{Running: 60, Waiting: 60, ReceivedAt: time.Now()}
	}
	var open []*Choice
	request := func(i, attempt int) *Request {
		r := f.request(fmt.Sprintf("r%d", i), attempt)
		r.Fingerprint = uint64(100 + i)
		return r
	}
	for i := range 3 {
		r := request(i, 1)
		r.Exclude = []string{"u0", "u2", "u4"}
		c, err := f.Choose(context.Background(), r)
		assert.NilError(t, err)
		assert.Equal(t, c.Upstream.Name, "crashed")
		open = append(open, c)
	}
	for _, c := range open {
		c.Done(Result{Status: StatusCrash})
	}
	used := map[string]bool{}
	for i := range 3 {
		r := request(i, 2)
		r.Exclude, r.ResumedTokens = []string{"crashed"}, 1
		c, err := f.Choose(context.Background(), r)
		assert.NilError(t, err)
		assert.Assert(t, !used[c.Upstream.Name], "two suspects of one crash are on %s", c.Upstream.Name)
		used[c.Upstream.Name] = true
	}
}

// Guards against ignoring a pinned version or the exclusion list, and against
// failing at once when no upstream is usable for a moment.
func TestPinExcludeAndWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0.5)
		for i := range 50 {
			r := f.request(fmt.Sprintf("r%d", i), 1)
			r.PinVersion, r.Exclude = "v2", []string{"u1", "u3"}
			c, err := f.Choose(context.Background(), r)
			assert.NilError(t, err)
			assert.Equal(t, c.Upstream.Name, "u5")
			c.Done(Result{Status: StatusOK})
		}
		saved := f.table.upstreams
		f.table.set(nil)
		_, err := f.Choose(context.Background(), f.request("none", 1))
		assert.Equal(t, notRunCode(t, err), problem.CodeNoUpstream)
		chosen := make(chan error)
		go func() {
			_, err := f.Choose(context.Background(), f.request("later", 1))
			chosen <- err
		}()
		synctest.Wait()
		f.table.set(saved)
		assert.NilError(t, <-chosen)
	})
}

// Guards against a filter that writes into the slice that the membership table
// shares among all requests: the exclusion of one request then removed an
// upstream for all the others.
func TestUsableUpstreamsDoesNotModifyTable(t *testing.T) {
	shared := []membership.Upstream{{Name: "a", Version: "v1"}, {Name: "b", Version: "v2"}, {Name: "c", Version: "v1"}}
	view := configsync.NewCache().Snapshot()
	matching := usableUpstreams(view, versionPreference{preferred: "v1"}, &Request{Exclude: []string{"a"}}, shared)
	assert.Equal(t, len(matching), 1)
	assert.Equal(t, matching[0].Name, "c")
	assert.Equal(t, shared[0].Name+shared[1].Name+shared[2].Name, "abc")
}

// Guards against a request that waits until it fails while all upstreams of its pool are
// leaving: none of them can serve it.
func TestRefusesAtOnceIfAllLeave(t *testing.T) {
	f := newFixture(t, -1)
	f.table.set(nil)
	f.table.outlook.AllLeaving = true
	startedAt := time.Now()
	_, err := f.Choose(t.Context(), f.request("r", 1))
	assert.Equal(t, notRunCode(t, err), problem.CodeNoUpstream)
	assert.Assert(t, time.Since(startedAt) < DefaultUpstreamWait/2)
}

// Guards against a request that waits for upstreams that back off longer than it can wait, and
// against callers that are all told to return at the end of the same backoff; and against one
// that is refused although the backoff ends in time.
func TestRefusesAtOnceIfAllBackOff(t *testing.T) {
	f := newFixture(t, -1)
	upstreams := f.table.Upstreams("p")
	f.table.set(nil)
	startedAt := time.Now()
	f.table.outlook.BackoffUntil = startedAt.Add(2 * DefaultUpstreamWait)
	moments := map[time.Duration]bool{}
	for i := range 30 {
		_, err := f.Choose(t.Context(), f.request(fmt.Sprintf("r%d", i), 1))
		var p *problem.Problem
		assert.Assert(t, errors.As(err, &p) && p.Execution == problem.ExecutionNotRun, "%v", err)
		returnAt := time.Since(startedAt) + time.Duration(p.RetryAfterMs)*time.Millisecond
		assert.Assert(t, returnAt >= 2*DefaultUpstreamWait-2*time.Millisecond, "returns after %s", returnAt)
		moments[returnAt.Round(returnInterval)] = true
	}
	assert.Assert(t, time.Since(startedAt) < DefaultUpstreamWait/2)
	assert.Assert(t, len(moments) >= 15, "all return at %d moments", len(moments))

	f.table.outlook.BackoffUntil = time.Now().Add(DefaultUpstreamWait / 10)
	time.AfterFunc(DefaultUpstreamWait/20, func() { f.table.set(upstreams) })
	_, err := f.Choose(t.Context(), f.request("last", 1))
	assert.NilError(t, err)
}

// Guards against a limit that counts upstreams of a version that gets few requests as
// capacity, so that too many requests are sent to the others.
func TestCapacityIsOfServingVersion(t *testing.T) {
	limit := func(share float64, without string) int {
		f := newFixture(t, share)
		if without != "" {
			f.table.remove(without)
		}
		f.reportUpstreams("p")
		_, limit, _ := f.opts.Admission.Limit("p")
		return limit
	}
	all := limit(-1, "")
	for _, share := range []float64{0, 0.05, 1} {
		assert.Equal(t, limit(share, ""), all/2, "share %g", share)
	}
	assert.Equal(t, limit(0.05, "u1"), all/2, "an upstream of the new version")
	assert.Assert(t, limit(0.05, "u0") < all/2, "one of the serving version")
}

// Guards against a share of a route that is not enforced, and against one that still is after
// the new version may get nothing.
func TestRouteShareIsEnforced(t *testing.T) {
	m := &configsync.Move{
		Name: "m", Spec: &api.VersionMove{Pool: "p", From: "v1", To: "v2"}, Status: &api.MoveStatus{Phase: api.MoveRunning, Share: 0.05},
		RouteShares: map[string]float64{"rare": 0.25},
	}
	view := &configsync.View{Moves: map[string]*configsync.Move{"m": m}}
	share := func(route string) float64 {
		count := 0
		for i := range 4000 {
			p := versionPreferenceFor(view, storedShare{}, &Request{ID: fmt.Sprint("r", i), Pool: "p", Route: route})
			if p.preferred == "v2" {
				count++
			}
		}
		return float64(count) / 4000
	}
	assert.Assert(t, share("rare") > 0.22 && share("rare") < 0.28)
	assert.Assert(t, share("other") > 0.03 && share("other") < 0.07)
	m.Status.Share = 0
	assert.Equal(t, share("rare"), 0.0)
}
