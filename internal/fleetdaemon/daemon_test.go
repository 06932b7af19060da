package fleetdaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
	"rattantide/internal/standin/tcplink"
	"rattantide/internal/telemetry"
	"rattantide/platform"
)

// waitLimit bounds the wait for an expected state; it is not a performance
// requirement.
const waitLimit = 60 * time.Second

// addressesPerNetwork is the number of loopback addresses used with the same first three
// bytes.
const addressesPerNetwork = 200

// deployment is a deployment on loopback addresses: stand-ins of the platform, one
// runner and some daemons.
type deployment struct {
	t       testing.TB
	store   *platformstore.Store
	cloud   *platformcloud.Cloud
	runner  *runner.Runner
	daemons []*Daemon
	stops   []context.CancelFunc
	done    []chan error
	// storeBlocked holds, for each daemon, whether the store responds to it with 503.
	storeBlocked []atomic.Bool
	// storeLinks carry, for each daemon, its connections to the store.
	storeLinks []*tcplink.Link
}

func startDeployment(t testing.TB, daemons int) *deployment {
	return startDeploymentWith(t, daemons, Features{})
}

// startDeploymentWith starts a deployment. prepare is called with each daemon before it runs.
func startDeploymentWith(t testing.TB, daemons int, features Features, prepare ...func(i int, d *Daemon)) *deployment {
	s := &deployment{t: t, store: platformstore.New(), cloud: platformcloud.New(), runner: &runner.Runner{ID: "i-1"}}
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	cloudAddress, runnerAddress := serve(s.cloud), serve(s.runner)
	s.storeBlocked = make([]atomic.Bool, daemons)
	s.setConfig(1, "key-a", "key-b")
	s.store.Set("servers", "i-1", map[string]any{
		"service": "app", "address": runnerAddress, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "seqNo": 1,
	})
	s.store.Set("servers", "odd", "left by another writer")
	// The daemons use its number for TCP and for UDP.
	port, err := proc.FreePorts("", 1)
	assert.NilError(t, err)
	for i := range daemons {
		ip := fmt.Sprintf("127.0.%d.%d", 1+i/addressesPerNetwork, 1+i%addressesPerNetwork)
		storeAddress := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.storeBlocked[i].Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.store.ServeHTTP(w, r)
		}))
		storeLink, err := tcplink.Start(storeAddress)
		assert.NilError(t, err)
		t.Cleanup(storeLink.Close)
		s.storeLinks = append(s.storeLinks, storeLink)
		text := fmt.Sprintf(`
nodeId = "front-%d"
ip = %q
zone = "zone-a"
region = "r"
portRange = [%d,%d]
[listen]
front = "%s:0"
readiness = "%s:0"
directory = "%s:0"
[bounds]
graceS = 8
usageWindowS = 1
[platform]
address = %q
[cloudApi]
address = %q
duties = ["usage_report"]
`, i, ip, port, port+1, ip, ip, ip, storeLink.Address(), cloudAddress)
		settings, err := platform.ParseSettings([]byte(text))
		assert.NilError(t, err)
		settings.MetricsPort = 0
		d, err := New(Options{Settings: settings, Logger: telemetry.Discard(), DroppedLogLines: func() int64 { return 0 }, Wall: time.Now, Features: features})
		assert.NilError(t, err)
		// The callers' address is known only once the port is assigned.
		d.settings.CallerAddress = d.callers.Addr().String()
		for _, f := range prepare {
			f(i, d)
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		s.daemons, s.stops, s.done = append(s.daemons, d), append(s.stops, stop), append(s.done, done)
	}
	t.Cleanup(func() {
		// All drain at the same time.
		for _, stop := range s.stops {
			stop()
		}
		for i := range s.stops {
			s.stopDaemon(i)
		}
	})
	return s
}

// stopDaemon drains a daemon and waits until Run has returned.
func (s *deployment) stopDaemon(i int) {
	if s.done[i] == nil {
		return
	}
	s.stops[i]()
	err := <-s.done[i]
	s.done[i] = nil
	assert.Check(s.t, err == nil, "%v", err)
}

func (s *deployment) setConfig(version int, keys ...string) {
	s.store.Set("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/x/", "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 1000, "service": "app", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "app", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": keys, "ratePerS": 1000, "burst": 1000, "unit": "token_count", "plainTokens": 1}},
	})
}

func (s *deployment) waitFor(description string, condition func() bool) {
	s.t.Helper()
	assert.NilError(s.t, proc.Eventually(s.t.Context(), waitLimit, nil, func() error {
		if !condition() {
			return errors.Errorf("still waiting for %s", description)
		}
		return nil
	}))
}

// requestStatus returns the status of a request with a key, or 0 if it fails.
func (s *deployment) requestStatus(address, path, key string) int {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+address+path, nil)
	assert.NilError(s.t, err)
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", "a-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (s *deployment) isReady(i int) bool {
	return s.requestStatus(s.daemons[i].readiness.Addr().String(), "/ready", "") == http.StatusOK
}

// resolve returns the addresses that a daemon's directory lists.
func (s *deployment) resolve(i int) []string {
	response, err := http.Get("http://" + s.daemons[i].directory.Addr().String() + "/resolve?name=h&zone=zone-a&region=r")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var directory struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&directory) != nil {
		return nil
	}
	return directory.Addresses
}

// Guards against daemons that do not serve end to end on the platform: that do not
// discover each other, miss a configuration, accept a removed key, report no usage, or
// remain in the directory while they drain.
func TestDeployment(t *testing.T) {
	s := startDeployment(t, 2)
	for i := range s.daemons {
		s.waitFor("readiness", func() bool { return s.isReady(i) })
		s.waitFor("the addresses of both daemons", func() bool { return len(s.resolve(i)) == 2 })
		assert.Equal(t, s.requestStatus(s.daemons[i].settings.CallerAddress, "/x/1", "key-a"), http.StatusOK)
	}
	assert.Equal(t, s.runner.Executions()[0].Header.Get("X-Tenant"), "w")

	s.setConfig(2, "key-a")
	for i := range s.daemons {
		s.waitFor("revocation of the key", func() bool {
			return s.requestStatus(s.daemons[i].settings.CallerAddress, "/x/1", "key-b") == http.StatusUnauthorized
		})
	}
	s.waitFor("a usage report", func() bool { return len(s.cloud.Reports()) > 0 })
	windows := map[int64]bool{}
	for _, r := range s.cloud.Reports() {
		assert.Assert(t, !windows[r.Window], "window %d was reported twice", r.Window)
		windows[r.Window] = true
		assert.Assert(t, strings.HasPrefix(r.Holder, "front-"))
	}
	s.stopDaemon(0)
	s.waitFor("removal of the address", func() bool { return len(s.resolve(1)) == 1 })
	assert.Equal(t, s.requestStatus(s.daemons[1].settings.CallerAddress, "/x/1", "key-a"), http.StatusOK)
}

// Guards against daemons that miss changes of the configuration and the upstreams, or
// leave the duties without a holder, while the store is unavailable to them only: they
// must receive its contents from the daemons that reach it.
func TestStoreUnavailableToSomeDaemons(t *testing.T) {
	const daemons = 4
	s := startDeployment(t, daemons)
	for i := range daemons {
		s.waitFor("readiness", func() bool { return s.isReady(i) && len(s.resolve(i)) == daemons })
	}
	holder := -1
	s.waitFor("a holder of the duties", func() bool {
		for i, d := range s.daemons {
			if _, held := d.fencingToken(); held {
				holder = i
			}
		}
		return holder >= 0
	})
	for i := range daemons {
		// The holder and one more daemon are blocked; two still read the store.
		s.storeBlocked[i].Store(i == holder || i == (holder+1)%daemons)
	}
	s.setConfig(2, "key-a")
	s.waitFor("another holder of the duties", func() bool {
		for i, d := range s.daemons {
			if _, held := d.fencingToken(); held && i != holder {
				return true
			}
		}
		return false
	})
	for i := range daemons {
		address := s.daemons[i].settings.CallerAddress
		s.waitFor("revocation of the key", func() bool { return s.requestStatus(address, "/x/1", "key-b") == http.StatusUnauthorized })
	}
	// Without confirmations from other daemons, keys would be rejected within this time.
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for i := range daemons {
			assert.Equal(t, s.requestStatus(s.daemons[i].settings.CallerAddress, "/x/1", "key-a"), http.StatusOK)
		}
	}
}

// Guards against a daemon that sends a status other than 503 for unconfirmed keys
// during an outage of the store, or does not recover afterwards.
func TestStoreOutage(t *testing.T) {
	s := startDeployment(t, 1)
	s.waitFor("readiness", func() bool { return s.isReady(0) })
	address := s.daemons[0].settings.CallerAddress
	s.store.SetFaults(platformstore.Faults{Status: http.StatusServiceUnavailable})
	assert.Equal(t, s.requestStatus(address, "/x/1", "key-a"), http.StatusOK)
	s.waitFor("expiry of the keys", func() bool { return s.requestStatus(address, "/x/1", "key-a") == http.StatusServiceUnavailable })
	assert.Equal(t, s.requestStatus(address, "/x/1", "unknown"), http.StatusServiceUnavailable)
	s.store.SetFaults(platformstore.Faults{})
	s.waitFor("service", func() bool { return s.requestStatus(address, "/x/1", "key-a") == http.StatusOK })
}
