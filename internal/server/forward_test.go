package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/forwardheader"
	"rattantide/internal/problem"
	"rattantide/internal/responsehead"
)

// lostPaths are paths that are all lost.
type lostPaths struct{}

func (lostPaths) IsLost(pool string) bool { return pool != "" }
func (lostPaths) Lost() ([]string, bool)  { return []string{"app"}, true }

func (lostPaths) UntilLost(string, func()) func() { return func() {} }

// newLostHarness starts a server that reaches no upstream and asks the helpers in order.
func newLostHarness(t *testing.T, helpers ...*harness) *harness {
	var addresses []string
	for _, h := range helpers {
		addresses = append(addresses, strings.TrimPrefix(h.http.URL, "http://"))
	}
	return newLostHarnessAt(t, addresses...)
}

// newLostHarnessAt starts a server that reaches no upstream and asks the daemons at some
// addresses in order.
func newLostHarnessAt(t *testing.T, addresses ...string) *harness {
	transport := responsehead.NewTransport(&http.Transport{}).SingleUse()
	return newHarness(t, &fakePool{}, func(o *Options) {
		o.Forwarding = &Forwarding{Paths: lostPaths{}, Token: "peer", Scheme: "http", Helpers: func() []string { return addresses }, Transport: transport}
	})
}

// newHelper starts a server that reaches upstreams and serves forwarded requests.
func newHelper(t *testing.T, pool *fakePool) *harness {
	return newHarness(t, pool, func(o *Options) {
		o.Forwarding = &Forwarding{Paths: soundPaths{}, Token: "peer"}
	})
}

// soundPaths are paths of which none is lost.
type soundPaths struct{}

func (soundPaths) IsLost(string) bool     { return false }
func (soundPaths) Lost() ([]string, bool) { return nil, false }

func (soundPaths) UntilLost(string, func()) func() { return func() {} }

// Guards against callers that are refused by a daemon that has lost its path to the upstreams
// although other daemons reach them, and against upstreams that see what daemons tell each other.
func TestRequestsAreForwardedWhilePathIsLost(t *testing.T) {
	var header http.Header
	service, calls := newFakeService(t, nil)
	seen := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header = r.Header.Clone()
		service.Config.Handler.ServeHTTP(w, r)
	})
	upstream := newServer(t, seen)
	engine := newFakeEngine(t, "v1", nil)
	pool := &fakePool{}
	pool.add("app", "v1", upstream)
	helping := newHelper(t, pool)
	lost := newLostHarness(t, newLostHarness(t), helping)
	response := lost.do(t, "POST", "/orders/dies?x=1", "two", "Idempotency-Key", "k", "X-Request-Id", "r1")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusCreated)
	assert.Equal(t, string(body), "POST /orders/dies?x=1 two")
	assert.Equal(t, response.Header.Get("X-Request-Id"), "r1")
	assert.Equal(t, calls.Load(), int64(1))
	assert.Equal(t, header.Get(forwardheader.Token), "")

	chats := &fakePool{}
	chats.add("engine", "v1", engine.URL)
	lost = newLostHarness(t, newHelper(t, chats))
	response = lost.do(t, "POST", "/v1/chat/completions", streamBody)
	body, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, string(body))
	assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), string(body))
}

// Guards against requests that circle among daemons that have all lost their paths, and
// against callers that can make a daemon refuse to forward.
func TestForwardedRequestGoesNoFurther(t *testing.T) {
	lost := newLostHarness(t, newLostHarness(t, newLostHarness(t)))
	p := problemOf(t, lost.do(t, "POST", "/orders/dies", "two"))
	assert.Equal(t, p.Code, problem.CodeNoUpstream)
	assert.Equal(t, p.Execution, problem.ExecutionNotRun)
	assert.Assert(t, p.RetryAfterMs > 0)
	service, _ := newFakeService(t, nil)
	pool := &fakePool{}
	pool.add("app", "v1", service.URL)
	response := newLostHarness(t, newHelper(t, pool)).do(t, "POST", "/orders/dies", "two", forwardheader.Token, "wrong")
	assert.Equal(t, response.StatusCode, http.StatusCreated)
}

// Guards against a request that is said not to have run, or is sent again, after the daemon
// that it was forwarded to was lost with it.
func TestHelperIsLostWithRequest(t *testing.T) {
	broken := newServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	service, calls := newFakeService(t, nil)
	pool := &fakePool{}
	pool.add("app", "v1", service.URL)
	other := newHelper(t, pool)
	lost := newLostHarnessAt(t, strings.TrimPrefix(broken, "http://"), strings.TrimPrefix(other.http.URL, "http://"))
	p := problemOf(t, lost.do(t, "POST", "/orders/dies", "two"))
	assert.Equal(t, p.Execution, problem.ExecutionUnknown)
	assert.Equal(t, calls.Load(), int64(0))
}

// pathLostLater is a path that is lost from some time on.
type pathLostLater struct{ isLost atomic.Bool }

func (p *pathLostLater) IsLost(string) bool            { return p.isLost.Load() }
func (p *pathLostLater) Lost() ([]string, bool)        { return nil, p.isLost.Load() }
func (*pathLostLater) UntilLost(string, func()) func() { return func() {} }

// Guards against a call that is said not to have run, by this daemon or by one that it asked for
// help, after an upstream got it and the path was lost.
func TestCallThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	noUpstream := strings.TrimPrefix(newHelper(t, &fakePool{}).http.URL, "http://")
	for name, c := range map[string]struct {
		helpers []string
		token   string
	}{
		"no helper":             {nil, ""},
		"helper refuses":        {[]string{noUpstream}, ""},
		"forwarded to this one": {nil, "peer"},
	} {
		t.Run(name, func(t *testing.T) {
			paths := &pathLostLater{}
			upstream, calls := newFakeService(t, func(int64, http.ResponseWriter) {
				paths.isLost.Store(true)
				panic(http.ErrAbortHandler)
			})
			pool := &fakePool{}
			pool.add("app", "v1", upstream.URL)
			h := newHarness(t, pool, func(o *Options) {
				o.Forwarding = &Forwarding{Paths: paths, Token: "peer", Scheme: "http", Helpers: func() []string { return c.helpers }, Transport: responsehead.NewTransport(&http.Transport{}).SingleUse()}
			})
			response := h.do(t, "POST", "/jobs/7", "body", "Authorization", "Bearer "+otherToken, forwardheader.Token, c.token)
			assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionUnknown)
			assert.Equal(t, response.Header.Get(forwardheader.NotHelped), "")
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

// newServer starts an HTTP server and returns its URL.
func newServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}
