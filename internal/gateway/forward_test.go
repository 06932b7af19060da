package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/gateway"
	"rattantide/internal/responsetest"
	"rattantide/internal/standin/runner"
	"rattantide/internal/upstreamconn"
)

// lostPaths are paths that are all lost.
type lostPaths struct{}

func (lostPaths) IsLost(string) bool                  { return true }
func (lostPaths) WasLostSince(string, time.Time) bool { return true }

// newLostFixture starts a gateway that reaches no upstream, and forwards requests to helpers
// in order.
func newLostFixture(t *testing.T, helpers ...gateway.Helper) *fixture {
	conns := &upstreamconn.Pools{}
	t.Cleanup(conns.Close)
	choose := func(_ string, excluded []string) (gateway.Helper, func(), bool) {
		for _, h := range helpers {
			if !slices.Contains(excluded, h.Name) {
				return h, func() {}, true
			}
		}
		return gateway.Helper{}, nil, false
	}
	return newFixture(t, func(o *gateway.Options) {
		o.Paths, o.Forwarder = lostPaths{}, &gateway.Forwarder{Name: "lost", Choose: choose, Conns: conns}
	})
}

// helper serves the forwarded requests of a fixture.
func (f *fixture) helper(name string) gateway.Helper {
	s := responsetest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !gateway.IsForwarded(r) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		f.server.ServeForwarded(w, r)
	}))
	f.t.Cleanup(s.Close)
	return gateway.Helper{Name: name, Address: s.Listener.Addr().String()}
}

// Guards against a request that is charged or counted twice, runs under another identifier, or
// reaches the upstream with what daemons tell each other, when a daemon forwards it.
func TestForwardedRequestIsServedOnce(t *testing.T) {
	helping := newFixture(t)
	lost := newLostFixture(t, helping.helper("helping"))
	for _, path := range []string{"/order/1", "/lookup/1"} {
		status, _, header, err := lost.call(path, "body", "X-Deadline-Ms", "1500")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, header.Get("X-Attempt-Id"), "a1")
	}
	assert.Equal(t, lost.runCount(), 0)
	assert.Equal(t, helping.runCount(), 2)
	for _, e := range helping.runners[0].Executions() {
		assert.Equal(t, e.Header.Get("X-Tenant"), "ws")
		assert.Equal(t, e.Header.Get("Rattantide-Forwarded-By"), "")
		assert.Equal(t, e.Header.Get("Rattantide-Config"), "")
	}
	assert.Equal(t, lost.quota.charged, 400.0)
	assert.Equal(t, helping.quota.charged, 0.0)
	assert.Equal(t, lost.usage.counts["ws"], 0)
	assert.Equal(t, helping.usage.counts["ws"], 2)
}

// Guards against a request that circles among daemons that reach no upstream, or that is not
// refused at once, with its quota returned, when no daemon helps.
func TestNobodyHelps(t *testing.T) {
	var returned atomic.Int64
	third := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		returned.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(third.Close)
	second := newLostFixture(t, gateway.Helper{Name: "third", Address: third.Listener.Addr().String()})
	first := newLostFixture(t, second.helper("second"))
	start := time.Now()
	status, _, header, err := first.call("/lookup/1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Equal(t, first.quota.charged, 0.0)
	assert.Equal(t, returned.Load(), int64(0), "forwarded twice")
}

// Guards against a daemon with an older configuration that judges a request that a newer one
// allows, instead of leaving it to another daemon.
func TestHelperWithOlderConfigurationDoesNotHelp(t *testing.T) {
	older, current := newFixture(t), newFixture(t)
	lost := newLostFixture(t, older.helper("older"), current.helper("current"))
	for _, f := range []*fixture{lost, current} {
		config, confirmedAt := f.holder.Current()
		next := &fleetconfig.Config{Version: config.Version + 1, Services: config.Services, Workspaces: config.Workspaces, Routes: append(config.Routes, route("new", "/new/", fleetconfig.NonIdempotent, 1))}
		next.Index()
		f.holder.Apply(next, confirmedAt)
	}
	status, _, _, err := lost.call("/new/1", "body")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, older.runCount(), 0)
	assert.Equal(t, current.runCount(), 1)
}

// Guards against a request that is sent again, or said not to have run, after the helping
// daemon was lost with it.
func TestHelperIsLostWithRequest(t *testing.T) {
	helping, other := newFixture(t), newFixture(t)
	helping.runners[0].SetFault(runner.FaultNoResponse, 1)
	h := helping.helper("helping")
	lost := newLostFixture(t, h, other.helper("other"))
	go func() {
		for helping.runCount() == 0 {
			<-time.After(time.Millisecond)
		}
		helping.server.EndRequests()
	}()
	status, _, _, err := lost.call("/order/1", "body")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, other.runCount(), 0)
}

// Guards against a request that another daemon sent to an upstream before and that counts as a
// first attempt at the helping one, outside of the budget for repeats.
func TestForwardedRepeatIsARepeat(t *testing.T) {
	helping := newFixture(t)
	helping.address = helping.helper("helping").Address
	status, _, _, err := helping.call("/lookup/1", "", "Rattantide-Forwarded-By", "lost", "Rattantide-Caller", "10.0.0.1", "Rattantide-Config", "7", "Rattantide-Sends", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, helping.chooser.requests[0].Attempt, 2)
	assert.Equal(t, helping.chooser.requests[0].ReachedAttempts, 1)
}

// Guards against a quota that stays charged, or a Retry-After that gets lost, when the helping
// daemon refuses a request.
func TestHelperRefusesRequest(t *testing.T) {
	helping := newFixture(t)
	helping.chooser.upstreams = nil
	lost := newLostFixture(t, helping.helper("helping"))
	status, _, header, err := lost.call("/order/1", "body")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1.00")
	assert.Equal(t, lost.quota.charged, 0.0)
}
