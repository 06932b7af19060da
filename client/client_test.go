package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDaemon responds with a function that gets the number of the call, from 1,
// and records the calls except those for entries, which it answers with 404.
type fakeDaemon struct {
	*httptest.Server
	respond func(n int, w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	calls []string
}

func newFakeDaemon(t *testing.T, respond func(n int, w http.ResponseWriter, r *http.Request)) *fakeDaemon {
	d := &fakeDaemon{respond: respond}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Close)
	return d
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	d.mu.Lock()
	path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	d.calls = append(d.calls, r.Method+" "+path+" "+r.Header.Get("Last-Event-ID")+r.Header.Get("Idempotency-Key"))
	n := len(d.calls)
	d.mu.Unlock()
	d.respond(n, w, r)
}

// recordedCalls returns the calls so far.
func (d *fakeDaemon) recordedCalls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

func writeProblem(w http.ResponseWriter, status int, code, execution string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"code":%q,"ran":%q}`, code, execution)
}

func newTestClient(t *testing.T, idleTimeout time.Duration, daemons ...*fakeDaemon) *Client {
	options := Options{Token: "t", Backoff: time.Millisecond, IdleTimeout: idleTimeout, Attempts: 4}
	for _, d := range daemons {
		options.Entries = append(options.Entries, d.Listener.Addr().String())
	}
	c, err := New(options)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func writeEvents(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: {}\n\n", i)
	}
	w.(http.Flusher).Flush()
}

// TestStreamResumes guards against events that are lost or repeated when a
// connection is lost, receives no more data, or ends after the daemon has announced
// a successor.
func TestStreamResumes(t *testing.T) {
	for name, fail := range map[string]func(w http.ResponseWriter, r *http.Request){
		"lost":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"successor": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, ": successor 127.0.0.1:1\n\n") },
	} {
		t.Run(name, func(t *testing.T) {
			first := newFakeDaemon(t, func(_ int, w http.ResponseWriter, r *http.Request) {
				writeEvents(w, 1, 3)
				fail(w, r)
			})
			second := newFakeDaemon(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, 3, 6)
				io.WriteString(w, "data: [DONE]\n\n")
			})
			idleTimeout := time.Minute
			if name == "silent" {
				idleTimeout = time.Second
			}
			s, err := newTestClient(t, idleTimeout, first, second).Stream(t.Context(), []byte(`{}`))
			assert.NilError(t, err)
			defer func() { _ = s.Close() }()
			for i := range 6 {
				e, err := s.Next()
				assert.NilError(t, err)
				assert.Equal(t, e.Number, int64(i+1))
			}
			_, err = s.Next()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, second.recordedCalls()[0], "GET requests 3")
		})
	}
}

// TestDo guards against requests that are repeated although they may have been
// executed, that are not repeated although they can be, or whose error has the
// wrong Execution.
func TestDo(t *testing.T) {
	lose := func(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	ok := func(_ int, w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	refusal := func(status int, code, execution string) func(int, http.ResponseWriter, *http.Request) {
		return func(_ int, w http.ResponseWriter, _ *http.Request) { writeProblem(w, status, code, execution) }
	}
	tests := []struct {
		name          string
		first, second func(int, http.ResponseWriter, *http.Request)
		execution     Execution
		calls         int
	}{
		{name: "answer lost", first: lose, second: ok, calls: 2},
		{name: "leaving", first: refusal(503, "leaving", "not_run"), second: ok, calls: 2},
		{name: "unknown", first: refusal(502, "outcome_unknown", "unknown"), second: ok, execution: ExecutionUnknown, calls: 1},
		{name: "refused", first: refusal(422, "idempotency_key_reused", "not_run"), second: ok, execution: ExecutionNotRun, calls: 1},
		{name: "refused after a loss", first: lose, second: refusal(503, "overloaded", "not_run"), execution: ExecutionUnknown, calls: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newFakeDaemon(t, test.first), newFakeDaemon(t, test.second)
			response, err := newTestClient(t, time.Minute, first, second).Do(t.Context(), Request{Method: "POST", Path: "/orders/dies"})
			assert.Equal(t, len(first.recordedCalls())+len(second.recordedCalls()), test.calls)
			if test.execution == "" {
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "ok")
			} else {
				var failure *Error
				assert.Assert(t, errors.As(err, &failure))
				assert.Equal(t, failure.Execution, test.execution)
			}
			for _, call := range second.recordedCalls() {
				assert.Equal(t, call, first.recordedCalls()[0], "every call must have the same key")
				assert.Assert(t, !strings.HasSuffix(call, " "), "the call has no key")
			}
		})
	}
	t.Run("no daemon", func(t *testing.T) {
		d := newFakeDaemon(t, ok)
		d.Close()
		_, err := newTestClient(t, time.Minute, d).Do(t.Context(), Request{Method: "POST", Path: "/orders/dies"})
		var failure *Error
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Execution, ExecutionNotRun)
	})
}
