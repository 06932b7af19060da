package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
	"rattantide/internal/proc"
	"rattantide/internal/standin/runner"
	"rattantide/internal/telemetry"
	"rattantide/internal/upstreamconn"
	"rattantide/platform"
)

// chooser hands out its upstreams in turn, without those that are excluded.
type chooser struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
	results   []dispatch.Result
}

// Choose implements dispatch.Chooser.
func (c *chooser) Choose(_ context.Context, r *dispatch.Request) (*dispatch.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		excluded := false
		for _, name := range r.Exclude {
			excluded = excluded || name == u.Name
		}
		if !excluded {
			return &dispatch.Choice{Upstream: u, Done: func(res dispatch.Result) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.results = append(c.results, res)
			}}, nil
		}
	}
	return nil, problem.NotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "none").WithRetryAfter(time.Second)
}

// openQuota has room for everything and counts what it holds.
type openQuota struct {
	mu   sync.Mutex
	held float64
}

// Take implements gateway.Quota.
func (q *openQuota) Take(_ context.Context, _ *fleetconfig.Workspace, cost float64) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held += cost
	return true, 0
}

// Return implements gateway.Quota.
func (q *openQuota) Return(_ *fleetconfig.Workspace, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held -= cost
}

type usageCount struct {
	mu sync.Mutex
	n  map[string]int
}

// Began implements gateway.Usage.
func (u *usageCount) Began(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.n == nil {
		u.n = map[string]int{}
	}
	u.n[workspace]++
}

// fixture is a gateway before two upstreams.
type fixture struct {
	t       *testing.T
	address string
	runners []*runner.Runner
	chooser *chooser
	quota   *openQuota
	usage   *usageCount
	holder  *fleetconfig.Holder
	now     time.Time
	nowMu   sync.Mutex
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, chooser: &chooser{}, quota: &openQuota{}, usage: &usageCount{}, holder: fleetconfig.NewHolder(), now: time.Unix(1000, 0)}
	for i := range 2 {
		r := &runner.Runner{ID: "i-" + strconv.Itoa(i)}
		s := httptest.NewServer(r)
		t.Cleanup(s.Close)
		f.runners = append(f.runners, r)
		f.chooser.upstreams = append(f.chooser.upstreams, membership.Upstream{Name: r.ID, Address: s.Listener.Addr().String()})
	}
	config := &fleetconfig.Config{
		Version:    7,
		Services:   map[string]*fleetconfig.Service{"svc": {Name: "svc"}},
		Workspaces: []*fleetconfig.Workspace{{Name: "ws", Keys: []string{"key"}, PlainCost: 200}},
		Routes: []*fleetconfig.Route{
			route("order", "/order/", fleetconfig.NonIdempotent, 1),
			route("lookup", "/lookup/", fleetconfig.Idempotent, 2),
			route("stream", "/stream/", fleetconfig.Stream, 1),
			route("resume", "/resume/", fleetconfig.Stream, 2),
			route("lookup-deep", "/lookup/deep/", fleetconfig.NonIdempotent, 1),
		},
	}
	config.Routes[3].Resumable = true
	config.Index()
	f.holder.Apply(config, f.now)
	pools := &upstreamconn.Pools{}
	t.Cleanup(pools.Close)
	s := httptest.NewServer(gateway.New(gateway.Options{
		Codec: platform.Codec{}, Config: f.holder, Chooser: f.chooser, Conns: pools, Quota: f.quota, Usage: f.usage,
		KeysValidFor: func() time.Duration { return 4500 * time.Millisecond }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
		BootNow: f.bootNow, Leaving: func() bool { return false },
	}))
	t.Cleanup(s.Close)
	f.address = s.Listener.Addr().String()
	return f
}

func route(name, prefix string, kind fleetconfig.CallKind, attempts int) *fleetconfig.Route {
	return &fleetconfig.Route{
		Name: name, Host: "host.example", PathPrefix: prefix, Kind: kind, MaxAttempts: attempts,
		Timeout: 2 * time.Second, Target: 300 * time.Millisecond,
		Services: []fleetconfig.WeightedService{{Service: "svc", Weight: 1}},
	}
}

func (f *fixture) bootNow() time.Time {
	f.nowMu.Lock()
	defer f.nowMu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.nowMu.Lock()
	defer f.nowMu.Unlock()
	f.now = f.now.Add(d)
}

// call sends a request; header holds pairs of names and values.
func (f *fixture) call(path, body string, header ...string) (status int, answer string, h http.Header, err error) {
	method := http.MethodGet
	var reader io.Reader
	if body != "" {
		method, reader = http.MethodPost, strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.address+path, reader)
	assert.NilError(f.t, err)
	request.Host = "host.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Header, err
}

func (f *fixture) runs() int { return len(f.runners[0].Runs()) + len(f.runners[1].Runs()) }

// Guards against a request or an answer that is changed on its way, a key that
// reaches an upstream, and headers of the system that a caller sets.
func TestPassesThroughUnchanged(t *testing.T) {
	f := newFixture(t)
	status, answer, h, err := f.call("/order/x%2Fy/../z?q=1&r=%20", "the body", "X-Tenant", "forged", "X-Pin-Ms", "9", "X-Custom", "kept")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, "answer of the runner")
	assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-a1")
	run := f.runners[0].Runs()[0]
	assert.Equal(t, run.Target, "/order/x%2Fy/../z?q=1&r=%20")
	assert.Equal(t, run.Body, "the body")
	assert.Equal(t, run.Header.Get("X-Tenant"), "ws")
	assert.Equal(t, run.Header.Get("X-Expect-Instance"), "i-0")
	assert.Equal(t, run.Header.Get("X-Custom"), "kept")
	assert.Equal(t, run.Header.Get("Authorization")+run.Header.Get("X-Pin-Ms"), "")
	left, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 2000, "deadline %d", left)
	assert.Equal(t, f.usage.n["ws"], 1)
	assert.Equal(t, f.quota.held, 200.0)
}

// Guards against a call that must not be repeated and reaches a second upstream,
// and against a refusal as not run of one that may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for fault, want := range map[runner.Fault]int{
		runner.FaultFull: http.StatusServiceUnavailable, runner.FaultError: http.StatusInternalServerError,
		runner.FaultUnavailable: http.StatusBadGateway, runner.FaultReset: http.StatusBadGateway,
		runner.FaultCut: http.StatusBadGateway, runner.FaultOtherID: http.StatusBadGateway,
		runner.FaultUnsigned: http.StatusBadGateway, runner.FaultMute: http.StatusGatewayTimeout,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFixture(t)
			f.runners[0].Misbehave(fault, -1)
			status, _, h, err := f.call("/order/1", "b", "X-Deadline-Ms", "400")
			assert.NilError(t, err)
			assert.Equal(t, status, want)
			ran := 1
			if fault == runner.FaultFull {
				ran = 0
				assert.Assert(t, h.Get("Retry-After") != "")
				assert.Equal(t, f.quota.held, 0.0, "a request that did not run holds no quota")
			}
			assert.Equal(t, f.runs(), ran)
			if want != http.StatusInternalServerError {
				assert.Equal(t, h.Get("X-Response-Seal"), "", "an answer of our own bears no signature")
			}
		})
	}
}

// Guards against an idempotent call that fails although another upstream works.
func TestIdempotentIsTriedElsewhere(t *testing.T) {
	for _, fault := range []runner.Fault{
		runner.FaultFull, runner.FaultError, runner.FaultUnavailable, runner.FaultReset, runner.FaultCut, runner.FaultOtherID, runner.FaultUnsigned,
	} {
		f := newFixture(t)
		f.runners[0].Misbehave(fault, -1)
		status, answer, h, err := f.call("/lookup/1", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%s", fault)
		assert.Equal(t, answer, "answer of the runner")
		assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-1-a1")
		assert.Equal(t, f.usage.n["ws"], 1, "%s: a request counts once", fault)
	}
}

// The pattern: the old half of a service is taken away at once at the end of a
// version move, before the daemons hear of it. Guards against requests that are
// refused although upstreams that serve were not tried.
func TestPassesUpstreamsThatAreGone(t *testing.T) {
	f := newFixture(t)
	serving := f.chooser.upstreams
	f.chooser.upstreams = nil
	for i := range 8 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		f.chooser.upstreams = append(f.chooser.upstreams, membership.Upstream{Name: "gone-" + strconv.Itoa(i), Address: l.Addr().String()})
		assert.NilError(t, l.Close())
	}
	f.chooser.upstreams = append(f.chooser.upstreams, serving...)
	for _, path := range []string{"/order/1", "/lookup/1", "/stream/1"} {
		status, _, _, err := f.call(path, "body")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, path)
	}
}

// Guards against bytes after an answer that reach the next request on the
// connection.
func TestSurplusAnswerReachesNobody(t *testing.T) {
	f := newFixture(t)
	f.runners[0].Misbehave(runner.FaultSurplus, -1)
	for i := range 5 {
		id := "s" + strconv.Itoa(i)
		status, _, h, err := f.call("/order/1", "b", "X-Attempt-Id", id)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-"+id)
	}
}

// Guards against events that are lost, repeated or joined, a stream that must not
// be resumed and is, and one that ends early and looks complete.
func TestStreams(t *testing.T) {
	want := ""
	for n := range 6 {
		want += "id: " + strconv.Itoa(n+1) + "\ndata: piece " + strconv.Itoa(n+1) + "\n\n"
	}
	f := newFixture(t)
	f.runners[0].Events, f.runners[1].Events = 6, 6
	_, answer, _, err := f.call("/stream/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, answer, want)

	f.runners[0].Misbehave(runner.FaultCut, -1)
	_, answer, h, err := f.call("/resume/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, answer, want)
	assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-a1", "the signature of the first upstream stays")
	assert.Equal(t, f.runners[1].Runs()[0].Header.Get("Last-Event-Id"), "1")

	_, answer, _, err = f.call("/stream/1", "b")
	assert.Assert(t, err != nil, "the answer looks complete: %q", answer)
	assert.Equal(t, len(f.runners[1].Runs()), 1, "a stream that must not be resumed ran once more")
}

// Guards against an upstream that works on for a caller who has left.
func TestLeavingCallerEndsTheRun(t *testing.T) {
	f := newFixture(t)
	f.runners[0].Events, f.runners[0].Gap = 1000, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/stream/1", strings.NewReader("b"))
	assert.NilError(t, err)
	request.Host = "host.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	cancel()
	assert.NilError(t, proc.Eventually(t.Context(), 10*time.Second, nil, func() error {
		if f.runners[0].Canceled() == 0 {
			return errors.New("the upstream works on")
		}
		return nil
	}))
}

// Guards against keys that are accepted while nobody can tell whether they still
// hold, and against untrue answers about routes and keys.
func TestAuthentication(t *testing.T) {
	f := newFixture(t)
	status := func(path, body string, header ...string) int {
		code, _, _, err := f.call(path, body, header...)
		assert.NilError(t, err)
		return code
	}
	assert.Equal(t, status("/order/1", "b", "Authorization", "Bearer other"), http.StatusUnauthorized)
	assert.Equal(t, status("/nowhere/1", "b"), http.StatusNotFound)
	assert.Equal(t, status("/order/1", "b", "X-Token-Usage", "x"), http.StatusBadRequest)
	f.advance(4600 * time.Millisecond)
	assert.Equal(t, status("/order/1", "b"), http.StatusServiceUnavailable)
	assert.Equal(t, status("/order/1", "b", "Authorization", "Bearer other"), http.StatusServiceUnavailable)
	assert.Equal(t, status("/nowhere/1", "b"), http.StatusServiceUnavailable)
	assert.Equal(t, f.runs(), 0)
	f.holder.Confirm(7, f.bootNow())
	assert.Equal(t, status("/order/1", "b"), http.StatusOK)
}

// Guards against a shorter prefix that wins over a longer one.
func TestLongestPrefixWins(t *testing.T) {
	f := newFixture(t)
	f.runners[0].Misbehave(runner.FaultError, -1)
	status, _, _, err := f.call("/lookup/deep/1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError, "the deeper route must not be tried elsewhere")
	assert.Equal(t, len(f.runners[1].Runs()), 0)
}
