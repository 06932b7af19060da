package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// stateRecorder implements gateway.UpstreamStates.
type stateRecorder struct {
	mu       sync.Mutex
	leaving  []string
	backoffs map[string]time.Duration
	unusable map[string]bool
}

// RecordLeaving implements gateway.UpstreamStates.
func (s *stateRecorder) RecordLeaving(u membership.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, u.Name)
}

// RecordBackoff implements gateway.UpstreamStates.
func (s *stateRecorder) RecordBackoff(u membership.Upstream, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backoffs == nil {
		s.backoffs = map[string]time.Duration{}
	}
	s.backoffs[u.Name] = d
}

// IsUsable implements gateway.UpstreamStates.
func (s *stateRecorder) IsUsable(u membership.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unusable[u.Name]
}

func (s *stateRecorder) saidLeaving(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.leaving, name)
}

// Guards against an answer by which an upstream says that it leaves and that is not heard:
// one that is refused, cut, late or a stream; and against the answer of another upstream at
// the same address that is taken for the chosen one's.
func TestStatementOfLeavingUpstreamIsHeard(t *testing.T) {
	const statement = "Server-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		path  string
		raw   rawUpstream
		heard bool
	}{
		"whole":                  {"/lookup/1", rawUpstream{head: headWithLength(2) + statement, body: "ok"}, true},
		"not executed":           {"/order/1", rawUpstream{head: "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n" + statement}, true},
		"failure":                {"/order/1", rawUpstream{head: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n" + statement}, true},
		"cut":                    {"/order/1", rawUpstream{head: headWithLength(20) + statement, body: "ok"}, true},
		"stream":                 {"/stream/1", rawUpstream{head: headChunked + statement, body: chunk(firstEvent) + chunk("")}, true},
		"cut stream":             {"/stream/1", rawUpstream{head: headChunked + statement, body: chunk(firstEvent)}, true},
		"to another":             {"/order/1", rawUpstream{exact: "HTTP/1.1 200 x\r\nX-Attempt-Id: z\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n" + statement + "\r\n"}, true},
		"another upstream":       {"/order/1", rawUpstream{head: "HTTP/1.1 421 x\r\nContent-Length: 0\r\n" + statement}, false},
		"without the statement":  {"/order/1", rawUpstream{head: headWithLength(2), body: "ok"}, false},
		"no answer at all":       {"/order/1", rawUpstream{exact: strings.TrimPrefix(statement, "Server-")}, false},
		"statement that is zero": {"/order/1", rawUpstream{head: headWithLength(2) + "Server-Leaving: 0\r\n", body: "ok"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(c.raw, rawUpstream{head: headWithLength(2), body: "ok"})
			f.callRaw(http.MethodPost, c.path, "HTTP/1.1")
			assert.Equal(t, f.states.saidLeaving("raw-0"), c.heard)
			assert.Assert(t, !f.states.saidLeaving("raw-1"))
		})
	}
}

// Guards against a request that is sent to an upstream that may not be used any more,
// because it was chosen before that became known.
func TestUsableIsAskedBeforeSending(t *testing.T) {
	f := newFixture(t)
	f.states.unusable = map[string]bool{"i-0": true}
	status, _, _, err := f.call("/order/1", "body")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(f.runners[0].Arrivals()), 0)
	assert.Equal(t, len(f.runners[1].Arrivals()), 1)
	f.states.unusable["i-1"] = true
	status, _, h, err := f.call("/order/1", "body")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, h.Get("Retry-After") != "")
	assert.Equal(t, len(f.runners[1].Arrivals()), 1)
}

// Guards against a backoff that an upstream asks for and that is not recorded, and against one
// that a late answer, another upstream or another status begins anew.
func TestBackoffIsHeard(t *testing.T) {
	const head = "Retry-After: 1.5\r\nContent-Length: 0\r\n"
	for name, c := range map[string]struct {
		raw    rawUpstream
		wanted time.Duration
	}{
		"not executed":     {rawUpstream{head: "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\n" + head}, 1500 * time.Millisecond},
		"executed":         {rawUpstream{head: "HTTP/1.1 503 x\r\n" + head}, 1500 * time.Millisecond},
		"too many":         {rawUpstream{head: "HTTP/1.1 429 x\r\nX-Not-Executed: 1\r\n" + head}, 0},
		"another upstream": {rawUpstream{head: "HTTP/1.1 421 x\r\n" + head}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(c.raw, rawUpstream{head: headWithLength(2), body: "ok"})
			f.callRaw(http.MethodPost, "/lookup/1", "HTTP/1.1")
			assert.Equal(t, f.states.backoffs["raw-0"], c.wanted)
		})
	}
}
