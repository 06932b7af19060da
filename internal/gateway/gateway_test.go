package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/proc"
	"rattantide/internal/standin/runner"
)

// Guards against a request or a response that the gateway modifies, a key that is
// forwarded to an upstream, and reserved headers that a caller can set.
func TestForwardsUnchanged(t *testing.T) {
	f := newFixture(t)
	status, body, h, err := f.call("/order/x%2Fy/../z?q=1&r=%20", "the body", "X-Tenant", "forged", "X-Pin-Ms", "9", "X-Custom", "kept")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "answer of the runner")
	assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-a1")
	run := f.runners[0].Executions()[0]
	assert.Equal(t, run.Target, "/order/x%2Fy/../z?q=1&r=%20")
	assert.Equal(t, run.Body, "the body")
	assert.Equal(t, run.Header.Get("X-Tenant"), "ws")
	assert.Equal(t, run.Header.Get("X-Expect-Instance"), "i-0")
	assert.Equal(t, run.Header.Get("X-Custom"), "kept")
	assert.Equal(t, run.Header.Get("Authorization")+run.Header.Get("X-Pin-Ms"), "")
	remaining, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0 && remaining <= 2000, "deadline %d ms", remaining)
	assert.Equal(t, f.usage.counts["ws"], 1)
	assert.Equal(t, f.quota.charged, 200.0)
}

// Guards against a non-idempotent request that is sent to a second upstream after it
// may have run, and against a status that wrongly promises that it did not run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for fault, want := range map[runner.Fault]int{
		runner.FaultQueueFull: http.StatusServiceUnavailable, runner.FaultError: http.StatusInternalServerError,
		runner.FaultUnavailable: http.StatusBadGateway, runner.FaultReset: http.StatusBadGateway,
		runner.FaultTruncated: http.StatusBadGateway, runner.FaultOtherID: http.StatusBadGateway,
		runner.FaultUnsigned: http.StatusBadGateway, runner.FaultNoResponse: http.StatusGatewayTimeout,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFixture(t)
			f.runners[0].SetFault(fault, -1)
			status, _, h, err := f.call("/order/1", "b", "X-Deadline-Ms", "400")
			assert.NilError(t, err)
			assert.Equal(t, status, want)
			wantRuns := 1
			if fault == runner.FaultQueueFull {
				wantRuns = 0
				assert.Assert(t, h.Get("Retry-After") != "")
				assert.Equal(t, f.quota.charged, 0.0, "the quota of a request that did not run is refunded")
			}
			assert.Equal(t, f.runCount(), wantRuns)
			if want != http.StatusInternalServerError {
				assert.Equal(t, h.Get("X-Response-Seal"), "", "a response that the gateway generates has no signature")
			}
		})
	}
}

// Guards against an idempotent request that fails although another upstream works.
func TestIdempotentIsRetried(t *testing.T) {
	for _, fault := range []runner.Fault{
		runner.FaultQueueFull, runner.FaultError, runner.FaultUnavailable, runner.FaultReset, runner.FaultTruncated, runner.FaultOtherID, runner.FaultUnsigned,
	} {
		f := newFixture(t)
		f.runners[0].SetFault(fault, -1)
		status, body, h, err := f.call("/lookup/1", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%s", fault)
		assert.Equal(t, body, "answer of the runner")
		assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-1-a1")
		assert.Equal(t, f.usage.counts["ws"], 1, "%s: a request counts once", fault)
	}
}

// Guards against a request that is refused before the serving upstreams were tried.
// This occurs at the end of a version move, when all upstreams of the old version
// are removed at once, before the daemons are notified.
func TestSkipsUnreachableUpstreams(t *testing.T) {
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

// Guards against a request to an upstream that tolerates none at present, and against a
// refusal although another upstream could serve the request.
func TestStartingUpstreamsAreSkipped(t *testing.T) {
	f := newFixture(t)
	f.starting["i-0"] = true
	status, _, h, err := f.call("/order/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-1-a1")
	assert.Equal(t, len(f.runners[0].Executions()), 0)
	f.starting["i-1"] = true
	status, _, h, err = f.call("/order/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, h.Get("Retry-After") != "")
}

// Guards against bytes after the end of a response that are taken for the response
// to the next request on the connection.
func TestDiscardsSurplusResponseBytes(t *testing.T) {
	f := newFixture(t)
	f.runners[0].SetFault(runner.FaultSecondResponse, -1)
	for i := range 5 {
		id := "s" + strconv.Itoa(i)
		status, _, h, err := f.call("/order/1", "b", "X-Attempt-Id", id)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-"+id)
	}
}

// Guards against events that are lost, repeated or merged, against resuming a stream
// whose route does not allow it, and against a truncated stream that looks complete.
func TestStreams(t *testing.T) {
	want := ""
	for n := range 6 {
		want += "id: " + strconv.Itoa(n+1) + "\ndata: piece " + strconv.Itoa(n+1) + "\n\n"
	}
	f := newFixture(t)
	f.runners[0].Events, f.runners[1].Events = 6, 6
	_, body, _, err := f.call("/stream/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, body, want)

	f.runners[0].SetFault(runner.FaultTruncated, -1)
	_, body, h, err := f.call("/resume/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, body, want)
	assert.Equal(t, h.Get("X-Response-Seal"), "seal-i-0-a1", "the signature of the first upstream is retained")
	assert.Equal(t, f.runners[1].Executions()[0].Header.Get("Last-Event-Id"), "1")

	_, body, _, err = f.call("/stream/1", "b")
	assert.Assert(t, err != nil, "the truncated response looks complete: %q", body)
	assert.Equal(t, len(f.runners[1].Executions()), 1, "a stream that must not be resumed ran once more")
}

// Guards against an upstream that continues to process a request whose caller has
// disconnected.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	f := newFixture(t)
	f.runners[0].Events, f.runners[0].EventInterval = 1000, 5*time.Millisecond
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
		if f.runners[0].CanceledCount() == 0 {
			return errors.New("the upstream still processes the request")
		}
		return nil
	}))
}

// Guards against keys that are accepted while the configuration is unconfirmed, and
// against responses 401 and 404 that rely on an unconfirmed configuration.
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
	assert.Equal(t, f.runCount(), 0)
	f.holder.Confirm(7, f.bootNow())
	assert.Equal(t, status("/order/1", "b"), http.StatusOK)
}

// Guards against a route that is selected although another one has a longer matching
// prefix.
func TestLongestPrefixWins(t *testing.T) {
	f := newFixture(t)
	f.runners[0].SetFault(runner.FaultError, -1)
	status, _, _, err := f.call("/lookup/deep/1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError, "a request on the route with the longer prefix must not be retried")
	assert.Equal(t, len(f.runners[1].Executions()), 0)
}
