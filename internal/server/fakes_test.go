package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/engineclient"
	"rattantide/internal/intent"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
	"rattantide/internal/responsetest"
)

const (
	testToken  = "token-a"
	otherToken = "token-b"
	answerSize = 20
)

// engineCall is one call to a fakeEngine.
type engineCall struct {
	attempt, after, prefix int
	seed                   int64
	w                      http.ResponseWriter
	ctx                    context.Context
	version                string
}

// event sends token i, or the final event if i is answerSize+1.
func (c *engineCall) event(i int) {
	if i > answerSize {
		fmt.Fprintf(c.w, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\n", i, answerSize)
	} else {
		fmt.Fprintf(c.w, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", i, token(c.version, c.seed, i))
	}
	c.w.(http.Flusher).Flush()
}

func (c *engineCall) events(from, to int) {
	for i := from; i <= to; i++ {
		c.event(i)
	}
}

// sendRest sends the rest of the answer and [DONE].
func (c *engineCall) sendRest() {
	c.events(max(c.after, c.prefix)+1, answerSize+1)
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *engineCall) dropConnection() { panic(http.ErrAbortHandler) }

func (c *engineCall) refuse(status int) { c.w.WriteHeader(status) }

func (c *engineCall) answerUnknownRequest() {
	c.w.WriteHeader(http.StatusNotFound)
	io.WriteString(c.w, `{"error":{"code":"unknown_request"}}`)
}

func token(version string, seed int64, i int) string {
	return fmt.Sprintf("%s.%d.%d ", version, seed, i)
}

func wholeText(version string, seed int64) string {
	var b strings.Builder
	for i := 1; i <= answerSize; i++ {
		b.WriteString(token(version, seed, i))
	}
	return b.String()
}

type fakeEngine struct {
	*httptest.Server
	version string
	script  func(n int, c *engineCall)

	mu       sync.Mutex
	calls    []engineCall
	canceled chan string
}

func newFakeEngine(t testing.TB, version string, script func(n int, c *engineCall)) *fakeEngine {
	e := &fakeEngine{version: version, script: script, canceled: make(chan string, 64)}
	e.Server = httptest.NewServer(e)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.canceled <- r.URL.Path
		return
	}
	var body struct {
		Seed   int64 `json:"seed"`
		Prefix int   `json:"rattantide_prefix_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	_, _ = io.Copy(io.Discard, r.Body)
	c := engineCall{prefix: body.Prefix, seed: body.Seed, w: w, ctx: r.Context(), version: e.version}
	c.attempt, _ = strconv.Atoi(r.Header.Get("X-Attempt"))
	c.after, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.calls = append(e.calls, c)
	n := len(e.calls)
	e.mu.Unlock()
	if e.script == nil {
		c.sendRest()
		return
	}
	e.script(n, &c)
}

func (e *fakeEngine) recordedCalls() []engineCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineCall(nil), e.calls...)
}

// fakePool is a Chooser and Members over a list of upstreams. It chooses the first
// one that is neither leaving nor excluded.
type fakePool struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
	results   []dispatch.Result
	requests  []dispatch.Request
	changed   chan struct{}
}

func (p *fakePool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// giveNotice marks an upstream as leaving within d.
func (p *fakePool) giveNotice(name string, d time.Duration) {
	p.Changed()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.upstreams {
		if p.upstreams[i].Name == name {
			p.upstreams[i].Leaving, p.upstreams[i].LeavingBy = true, time.Now().Add(d)
		}
	}
	close(p.changed)
	p.changed = nil
}

func (p *fakePool) add(name, version, address string) {
	p.upstreams = append(p.upstreams, membership.Upstream{Name: name, Version: version, Address: strings.TrimPrefix(address, "http://")})
}

func (p *fakePool) Choose(_ context.Context, r *dispatch.Request) (*dispatch.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, *r)
next:
	for _, u := range p.upstreams {
		if u.Leaving {
			continue
		}
		for _, name := range r.Exclude {
			if name == u.Name {
				continue next
			}
		}
		return &dispatch.Choice{Upstream: u, Version: u.Version, Done: func(result dispatch.Result) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results = append(p.results, result)
		}}, nil
	}
	return nil, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "none left")
}

func (p *fakePool) Upstream(name string) (membership.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return membership.Upstream{}, false
}

func (p *fakePool) Daemons() []membership.Daemon {
	return []membership.Daemon{
		{Name: "self", Address: "self:1", Domain: "a"}, {Name: "other", Address: "other:1", Domain: "b"},
	}
}

// fakeIntents is an in-memory intent.Recorder.
type fakeIntents struct {
	mu       sync.Mutex
	outcomes map[string]intent.Outcome
}

func (f *fakeIntents) Begin(_ context.Context, key intent.Key, _, _ string) (intent.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.outcomes[key.Value]; ok && o.Execution != intent.ExecutionNotRun {
		return intent.Grant{Outcome: o}, nil
	}
	f.outcomes[key.Value] = intent.Outcome{Execution: intent.ExecutionUnknown}
	return intent.Grant{Granted: true}, nil
}

func (f *fakeIntents) Finish(key intent.Key, _ string, o intent.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[key.Value] = o
}

func newTestConfig(t testing.TB) *configsync.Cache {
	cache := configsync.NewCache()
	version := objectclient.Revision(0)
	put := func(kind, name, spec string) {
		version++
		cache.Apply(objectclient.Object{Kind: kind, Name: name, Version: version, Value: []byte(`{"spec":` + spec + `}`)})
	}
	put("Class", "chat", `{"target":{"firstToken":"1s","betweenTokens":"50ms"}}`)
	put("Class", "orders", `{"target":{"answer":"1s"},"idempotent":false}`)
	put("Class", "lookup", `{"target":{"answer":"1s"}}`)
	put("Pool", "llm", `{"type":"chat","version":"v1"}`)
	put("Pool", "app", `{"type":"service","version":"v1"}`)
	put("Route", "brief", `{"model":"brief","pool":"llm","class":"chat"}`)
	put("Route", "orders", `{"prefix":"orders","pool":"app","class":"orders"}`)
	put("Route", "jobs", `{"prefix":"jobs","pool":"app","class":"lookup"}`)
	put("Workspace", "a", `{"tokenHash":"`+hashOf(testToken)+`"}`)
	put("Workspace", "b", `{"tokenHash":"`+hashOf(otherToken)+`","classes":["lookup"]}`)
	return cache
}

// harness is a Server with fake collaborators that listens on a local address.
type harness struct {
	*Server
	http    *httptest.Server
	pool    *fakePool
	intents *fakeIntents
	journal *journal.Journal
}

func newHarness(t testing.TB, pool *fakePool, configure func(*Options)) *harness {
	h := &harness{pool: pool, intents: &fakeIntents{outcomes: map[string]intent.Outcome{}}, journal: journal.New(journal.Options{})}
	engines := engineclient.New(nil)
	options := Options{
		Self: membership.Daemon{Name: "self", Domain: "a"}, Config: newTestConfig(t), Members: pool, Chooser: pool,
		Engine: EngineClient{engines}, Journal: h.journal, Intents: h.intents,
		FirstEventTimeout: 30 * time.Second, NextEventTimeout: 30 * time.Second,
	}
	if configure != nil {
		configure(&options)
	}
	h.Server = New(options)
	h.http = responsetest.NewServer(h.Handler())
	t.Cleanup(func() {
		h.http.CloseClientConnections()
		h.http.Close()
		h.Close()
		h.journal.Close()
		engines.CloseIdleConnections()
	})
	return h
}

func (h *harness) do(t testing.TB, method, path, body string, header ...string) *http.Response {
	request, err := http.NewRequest(method, h.http.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := h.http.Client().Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}
