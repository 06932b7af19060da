package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
	"rattantide/internal/quarantine"
	"rattantide/internal/responsetest"
	"rattantide/internal/standin/runner"
	"rattantide/internal/telemetry"
	"rattantide/internal/upstreamconn"
	"rattantide/platform"
)

// chooser chooses the first of its upstreams that is not excluded.
type chooser struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
	results   []dispatch.Result
	// requests are those for which an upstream was chosen.
	requests []*dispatch.Request
}

// Choose implements dispatch.Chooser.
func (c *chooser) Choose(_ context.Context, r *dispatch.Request) (*dispatch.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
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
	return nil, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "none").WithRetryAfter(time.Second)
}

// unlimitedQuota grants every request and sums up the cost that is charged.
type unlimitedQuota struct {
	mu      sync.Mutex
	charged float64
}

// Take implements gateway.Quota.
func (q *unlimitedQuota) Take(_ context.Context, _ *fleetconfig.Workspace, cost float64) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.charged += cost
	return true, 0
}

// Return implements gateway.Quota.
func (q *unlimitedQuota) Return(_ *fleetconfig.Workspace, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.charged -= cost
}

type usageRecorder struct {
	mu     sync.Mutex
	counts map[string]int
}

// RecordStarted implements gateway.Usage.
func (u *usageRecorder) RecordStarted(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[string]int{}
	}
	u.counts[workspace]++
}

// startingUpstreams holds the names of upstreams that may receive no requests at present.
type startingUpstreams map[string]bool

// Blocked implements gateway.UpstreamLimit. It returns none, like one that changes afterwards.
func (s startingUpstreams) Blocked() []string { return nil }

// Allow implements gateway.UpstreamLimit.
func (s startingUpstreams) Allow(upstream string) bool { return !s[upstream] }

// fixture is a gateway with two upstreams.
type fixture struct {
	t        *testing.T
	address  string
	server   *gateway.Server
	pools    *upstreamconn.Pools
	runners  []*runner.Runner
	chooser  *chooser
	quota    *unlimitedQuota
	usage    *usageRecorder
	starting startingUpstreams
	states   *stateRecorder
	// quarantine and requests judge the parts of prompts and whole requests; their clock is
	// that of the fixture.
	quarantine, requests *quarantine.Tracker
	holder               *fleetconfig.Holder
	now                  time.Time
	nowMu                sync.Mutex
}

// newFixture starts a gateway. modify is called with its options.
func newFixture(t *testing.T, modify ...func(*gateway.Options)) *fixture {
	f := &fixture{t: t, chooser: &chooser{}, quota: &unlimitedQuota{}, usage: &usageRecorder{}, starting: startingUpstreams{}, states: &stateRecorder{}, holder: fleetconfig.NewHolder(), now: time.Unix(1000, 0)}
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
		Workspaces: []*fleetconfig.Workspace{{Name: "ws", Keys: []string{"key"}, DefaultCost: 200}},
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
	newQuarantine := func(policy quarantine.Policy) *quarantine.Tracker {
		return quarantine.New(quarantine.Options{
			Policy: policy, IsLeaving: func(string) bool { return false }, IsProber: func(uint64) bool { return false }, OnNews: func() {},
			Now: f.bootNow, Logger: telemetry.Discard(), Scope: tally.NoopScope,
		})
	}
	f.quarantine, f.requests = newQuarantine(quarantine.PromptParts), newQuarantine(quarantine.WholeRequests)
	f.pools = &upstreamconn.Pools{}
	t.Cleanup(f.pools.Close)
	options := gateway.Options{
		Codec: platform.Codec{}, Config: f.holder, Chooser: f.chooser, Conns: f.pools, Quota: f.quota, Usage: f.usage, UpstreamStates: f.states, UpstreamLimit: f.starting, PromptQuarantine: f.quarantine, RequestQuarantine: f.requests,
		KeysValidFor: func() time.Duration { return 4500 * time.Millisecond }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
		BootNow: f.bootNow,
	}
	for _, m := range modify {
		m(&options)
	}
	f.server = gateway.New(options)
	s := responsetest.NewServer(f.server)
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

// call sends a request and returns the response; header holds pairs of names and
// values.
func (f *fixture) call(path, body string, header ...string) (status int, responseBody string, h http.Header, err error) {
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

func (f *fixture) runCount() int {
	return len(f.runners[0].Executions()) + len(f.runners[1].Executions())
}
