package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/caller"
	"rattantide/internal/standin/runner"
	"rattantide/internal/standin/tcplink"
)

// upstreamPaths are the simulated networks between each daemon and each upstream.
type upstreamPaths struct {
	*tcplink.Network
	t       testing.TB
	runners []*runner.Runner
}

func newUpstreamPaths(t testing.TB) *upstreamPaths {
	p := &upstreamPaths{Network: tcplink.NewNetwork(), t: t}
	t.Cleanup(p.Close)
	return p
}

// prepare makes a daemon reach its upstreams over the network.
func (p *upstreamPaths) prepare(i int, d *Daemon) {
	d.conns.Dial = func(ctx context.Context, address string) (net.Conn, error) { return p.Dial(ctx, i, address) }
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

// newCallers returns callers of all daemons.
func (s *deployment) newCallers() *caller.Callers {
	c := &caller.Callers{Host: "h", Key: "key-a", Routes: []caller.Route{
		{Name: "lookup", Method: http.MethodGet}, {Name: "order", Method: http.MethodPost, RunsOnce: true}, {Name: "chat", Method: http.MethodGet},
	}}
	for _, d := range s.daemons {
		c.Addresses = append(c.Addresses, d.settings.CallerAddress)
	}
	return c
}

// checkExecutions checks that no request ran more often than it may, or although it was
// refused.
func checkExecutions(t *testing.T, c *caller.Callers, paths *upstreamPaths) {
	t.Helper()
	ranTwice, brokenPromises := c.Violations(paths.executions())
	assert.Check(t, len(ranTwice) == 0, "ran twice: %v", ranTwice)
	assert.Check(t, len(brokenPromises) == 0, "refused, but ran: %v", brokenPromises)
}
