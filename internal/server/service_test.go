package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/configsync"
	"rattantide/internal/framing"
	"rattantide/internal/intent"
	"rattantide/internal/problem"
	"rattantide/internal/responsetest"
)

// newFakeService starts a service that echoes the method, URI and body, or runs
// script if it is set. It returns the service and its call counter.
func newFakeService(t *testing.T, script func(n int64, w http.ResponseWriter)) (*httptest.Server, *atomic.Int64) {
	calls := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		body, _ := io.ReadAll(r.Body)
		if script != nil {
			script(n, w)
			return
		}
		w.Header().Set("X-Token", r.Header.Get("Authorization"))
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}))
	t.Cleanup(server.Close)
	return server, calls
}

// TestOrderRunsOnce guards against a call that is executed again when its key is
// repeated, and against a caller's token that is forwarded to an upstream.
func TestOrderRunsOnce(t *testing.T) {
	service, calls := newFakeService(t, nil)
	pool := &fakePool{}
	pool.add("app", "v1", service.URL)
	h := newHarness(t, pool, nil)
	for range 2 {
		response := h.do(t, "POST", "/orders/dies?x=1", "two", "Idempotency-Key", "k")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusCreated)
		assert.Equal(t, string(body), "POST /orders/dies?x=1 two")
		assert.Equal(t, response.Header.Get("X-Token"), "")
	}
	assert.Equal(t, calls.Load(), int64(1))
}

// TestLostOrderAnswerIsUnknown guards against an order that is executed again, or
// reported as not run, after its answer was lost.
func TestLostOrderAnswerIsUnknown(t *testing.T) {
	for name, script := range map[string]func(int64, http.ResponseWriter){
		"before the header": func(int64, http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"within the body": func(_ int64, w http.ResponseWriter) {
			io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			service, calls := newFakeService(t, script)
			other, otherCalls := newFakeService(t, nil)
			pool := &fakePool{}
			pool.add("app", "v1", service.URL)
			pool.add("other", "v1", other.URL)
			h := newHarness(t, pool, nil)
			for range 2 {
				p := problemOf(t, h.do(t, "POST", "/orders/dies", "two", "Idempotency-Key", "k"))
				assert.Equal(t, p.Execution, problem.ExecutionUnknown)
				assert.Equal(t, p.Code, problem.CodeOutcomeUnknown)
			}
			assert.Equal(t, calls.Load()+otherCalls.Load(), int64(1))
		})
	}
}

// TestRefusedOrderIsNotRun guards against an order that is reported or recorded as
// possibly run although no byte was sent or the upstream was draining.
func TestRefusedOrderIsNotRun(t *testing.T) {
	draining, _ := newFakeService(t, func(_ int64, w http.ResponseWriter) {
		w.Header().Set("X-Draining", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	pool := &fakePool{}
	pool.add("down", "v1", "127.0.0.1:1")
	pool.add("draining", "v1", draining.URL)
	h := newHarness(t, pool, nil)
	p := problemOf(t, h.do(t, "POST", "/orders/dies", "two", "Idempotency-Key", "k"))
	assert.Equal(t, p.Execution, problem.ExecutionNotRun)
	assert.Equal(t, h.intents.outcomes["k"].Execution, intent.ExecutionNotRun)
}

// TestLookupIsRetried guards against a repeatable call that fails although another
// upstream can answer it.
func TestLookupIsRetried(t *testing.T) {
	broken, _ := newFakeService(t, func(int64, http.ResponseWriter) { panic(http.ErrAbortHandler) })
	service, _ := newFakeService(t, nil)
	pool := &fakePool{}
	pool.add("broken", "v1", broken.URL)
	pool.add("app", "v1", service.URL)
	h := newHarness(t, pool, nil)
	response := h.do(t, "POST", "/jobs/7", "body", "Authorization", "Bearer "+otherToken)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "POST /jobs/7 body")
}

// Guards against a daemon that rejects valid credentials because it has not received a
// configuration yet: callers do not repeat a request after 401.
func TestRefusesTemporarilyWithoutConfiguration(t *testing.T) {
	h := newHarness(t, &fakePool{}, func(o *Options) { o.Config = configsync.NewCache() })
	response := h.do(t, "GET", "/jobs/1", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionNotRun)
}

// Guards against a service's answer without a length or chunks, which may have been broken
// off, that reaches its caller with one of them, at once or when its outcome is replayed.
func TestAnswerThatEndsWithConnectionIsNotFramed(t *testing.T) {
	service, calls := newFakeService(t, func(_ int64, w http.ResponseWriter) {
		framing.SetConn(w.Header())
		io.WriteString(w, "a body")
	})
	pool := &fakePool{}
	pool.add("app", "v1", service.URL)
	h := newHarness(t, pool, nil)
	for _, method := range []string{"GET", "POST", "POST"} {
		response := h.do(t, method, "/orders/dies", "", "Idempotency-Key", "k")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "a body")
		assert.Equal(t, framing.Of(response, method), framing.Conn)
	}
	assert.Equal(t, calls.Load(), int64(2), "the order ran twice")
}

// Guards against a service's answer without a length or chunks that broke off and whose
// caller sees an ordinary end of its connection.
func TestBrokenAnswerThatEndsWithConnectionIsReset(t *testing.T) {
	service := responsetest.ServeReset(t, "HTTP/1.1 200 OK\r\n\r\npart")
	pool := &fakePool{}
	pool.add("app", "v1", "http://"+service)
	h := newHarness(t, pool, nil)
	response := h.do(t, "GET", "/orders/dies", "")
	_, err := io.ReadAll(response.Body)
	assert.Assert(t, err != nil)
}

// Guards against an upstream that refuses with a time to wait and is chosen again within it,
// because the time is not reported.
func TestBackoffOfServiceIsReported(t *testing.T) {
	for name, isDraining := range map[string]bool{"refusal that drains": true, "other refusal": false} {
		t.Run(name, func(t *testing.T) {
			backingOff, _ := newFakeService(t, func(_ int64, w http.ResponseWriter) {
				if isDraining {
					w.Header().Set("X-Draining", "true")
				}
				w.Header().Set("Retry-After", "2.5")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			pool := &fakePool{}
			pool.add("backing off", "v1", backingOff.URL)
			h := newHarness(t, pool, nil)
			h.do(t, "POST", "/jobs/7", "body", "Authorization", "Bearer "+otherToken)
			pool.mu.Lock()
			defer pool.mu.Unlock()
			assert.Assert(t, len(pool.results) > 0)
			assert.Equal(t, pool.results[0].Backoff, 2500*time.Millisecond)
		})
	}
}
