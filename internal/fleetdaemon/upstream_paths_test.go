package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"rattantide/internal/standin/runner"
	"rattantide/internal/standin/tcplink"
)

// pathFault is what happens on the path between one daemon and all upstreams.
type pathFault int32

const (
	pathSound pathFault = iota
	// pathHangs means that open connections and dials hang.
	pathHangs
	// pathResets means that open connections are reset and dials are refused.
	pathResets
	// pathRefusesNew means that dials are refused, while open connections live on.
	pathRefusesNew
)

// upstreamPaths are the simulated networks between each daemon and each upstream.
type upstreamPaths struct {
	t       testing.TB
	runners []*runner.Runner

	mu sync.Mutex
	// links are keyed by the daemon's index and the upstream's address.
	links  []map[string]*tcplink.Link
	faults []atomic.Int32
}

func newUpstreamPaths(t testing.TB, daemons int) *upstreamPaths {
	p := &upstreamPaths{t: t, links: make([]map[string]*tcplink.Link, daemons), faults: make([]atomic.Int32, daemons)}
	for i := range p.links {
		p.links[i] = map[string]*tcplink.Link{}
	}
	return p
}

// prepare makes a daemon reach its upstreams over the links.
func (p *upstreamPaths) prepare(i int, d *Daemon) {
	d.conns.Dial = func(ctx context.Context, address string) (net.Conn, error) { return p.dial(ctx, i, address) }
}

func (p *upstreamPaths) dial(ctx context.Context, i int, address string) (net.Conn, error) {
	switch pathFault(p.faults[i].Load()) {
	case pathHangs:
		ctx, cancel := context.WithTimeout(ctx, dialTime)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	case pathResets, pathRefusesNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	p.mu.Lock()
	l := p.links[i][address]
	if l == nil {
		var err error
		l, err = tcplink.Start(address)
		if err != nil {
			p.mu.Unlock()
			return nil, err
		}
		p.t.Cleanup(l.Close)
		p.links[i][address] = l
	}
	p.mu.Unlock()
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.Address())
}

// set sets the fault of the paths of one daemon.
func (p *upstreamPaths) set(i int, fault pathFault) {
	p.faults[i].Store(int32(fault))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links[i] {
		l.SetState(tcplink.State{HoldRequests: fault == pathHangs, HoldAnswers: fault == pathHangs})
		if fault == pathResets {
			l.ResetConns()
		}
	}
}

// addRunners adds runners of a service to the deployment.
func (p *upstreamPaths) addRunners(s *deployment, service string, count, events int) {
	for i := range count {
		r := &runner.Runner{ID: "i-" + service + "-" + strconv.Itoa(i), Events: events}
		server := httptest.NewServer(http.HandlerFunc(r.ServeHTTP))
		p.t.Cleanup(server.Close)
		s.store.Set("servers", r.ID, map[string]any{
			"service": service, "address": server.Listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready", "seqNo": 1,
		})
		p.runners = append(p.runners, r)
	}
}

// executions returns how often each request ran at the added runners.
func (p *upstreamPaths) executions() map[string]int {
	out := map[string]int{}
	for _, r := range p.runners {
		for _, e := range r.Executions() {
			out[e.AttemptID]++
		}
	}
	return out
}

// startPathDeployment starts a deployment whose daemons reach two services over paths, and
// waits until all daemons serve.
func startPathDeployment(t testing.TB, paths *upstreamPaths, daemons int) *deployment {
	s := startDeploymentWith(t, daemons, Features{}, paths.prepare)
	paths.addRunners(s, "shop", 3, 0)
	paths.addRunners(s, "llm", 3, 4)
	s.setPathConfig()
	s.waitFor("the configuration on all daemons", func() bool { return s.hasVersion(pathConfigVersion) })
	for i, d := range s.daemons {
		s.waitFor("readiness", func() bool { return s.isReady(i) && len(s.resolve(i)) == daemons })
		s.waitFor("service", func() bool {
			return len(d.listedUpstreams()) == 7 && s.requestStatus(d.settings.CallerAddress, "/lookup/1", "key-a") == http.StatusOK
		})
	}
	return s
}

// pathConfigVersion is the version that setPathConfig writes.
const pathConfigVersion = 2

// setPathConfig writes a configuration with an idempotent route, one that isn't, and one with
// streams.
func (s *deployment) setPathConfig() {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 1000, "service": service, "maxAttempts": 2, "streamResume": kind == "streaming"}
	}
	s.store.Set("config", "main", map[string]any{
		"version":  pathConfigVersion,
		"routes":   []any{route("lookup", "idempotent", "shop"), route("order", "non_idempotent", "shop"), route("chat", "streaming", "llm")},
		"services": []any{map[string]any{"name": "shop", "maxConns": 200}, map[string]any{"name": "llm", "maxConns": 200}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{"key-a"}, "ratePerS": 100000, "burst": 100000, "unit": "token_count", "plainTokens": 1}},
	})
}
