package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
)

const (
	streamEvents = 5
	keptKey      = "kept"
	takenKey     = "taken"
	// usageWindowSeconds is the length of the windows of usage reports.
	usageWindowSeconds = 2
)

// node is a daemon that is a process of its own.
type node struct {
	name, ip, settings string
	// clock is the file by which its time of day is moved; without one the
	// daemon's program runs.
	clock string
	// front, store and cloud carry the clients' connections to the node and the
	// node's to the platform.
	front, store, cloud *link

	mu      sync.Mutex
	process *proc.Process
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	t       testing.TB
	program string
	// dir holds the nodes' settings, clocks and logs.
	dir     string
	port    int
	store   *platformstore.Store
	cloud   *platformcloud.Cloud
	runners []*runner.Runner
	// runnerLinks carry all connections to the runner of the same index.
	runnerLinks []*link
	nodes       []*node

	mu      sync.Mutex
	version int
	keys    []string
}

func startFleet(t testing.TB, program string, nodes int) *fleet {
	f := &fleet{t: t, program: program, store: platformstore.New(), cloud: platformcloud.New(), keys: []string{keptKey, takenKey}}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return s.Listener.Addr().String()
	}
	storeAddress, cloudAddress := serve(f.store), serve(f.cloud)
	for i := range 4 {
		r := &runner.Runner{ID: "i-" + strconv.Itoa(i)}
		service := "app"
		if i%2 == 1 {
			r.Events, service = streamEvents, "llm"
		}
		carried := startLink(t, serve(r))
		f.runners, f.runnerLinks = append(f.runners, r), append(f.runnerLinks, carried)
		f.store.Set("servers", r.ID, map[string]any{
			"service": service, "address": carried.address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "seqNo": 1,
		})
	}
	f.configure()
	f.port = freePorts(t)
	f.dir = t.TempDir()
	for i := range nodes {
		n := &node{name: "front-" + strconv.Itoa(i), ip: "127.0.3." + strconv.Itoa(i+1)}
		n.front = startLink(t, n.ip+":"+strconv.Itoa(f.port))
		n.store, n.cloud = startLink(t, storeAddress), startLink(t, cloudAddress)
		n.settings = filepath.Join(f.dir, n.name+".toml")
		text := fmt.Sprintf("nodeId = %q\nip = %q\nzone = \"zone-a\"\nregion = \"r\"\nportRange = [%d,%d]\n[listen]\nfront = \"%s:%d\"\nreadiness = \"%s:%d\"\ndirectory = \"%s:%d\"\n[bounds]\ngraceS = 4\nrevokeMs = 5000\nusageWindowS = %d\nretryBudgetRatio = 0.2\nretryBudgetSlack = 60\nbudgetWindowS = 10\n[platform]\naddress = %q\n[cloudApi]\naddress = %q\nduties = [\"usage_report\"]\n",
			n.name, n.ip, f.port+3, f.port+4, n.ip, f.port, n.ip, f.port+1, n.ip, f.port+2, usageWindowSeconds, n.store.address(), n.cloud.address())
		assert.NilError(t, os.WriteFile(n.settings, []byte(text), 0o600))
		if i == 0 {
			n.clock = filepath.Join(f.dir, n.name+".clock")
		}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.current().Kill()
		}
	})
	return f
}

// freePorts returns the first of five ports that are free on the first node's
// address. The others use the same ports on addresses of their own.
func freePorts(t testing.TB) int {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.3.1:0")
		assert.NilError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		assert.NilError(t, l.Close())
		free := port < 65000
		for i := range 5 {
			probe, err := net.Listen("tcp4", "127.0.3.1:"+strconv.Itoa(port+i))
			if err != nil {
				free = false
				break
			}
			assert.NilError(t, probe.Close())
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func (f *fleet) start(n *node) {
	spec := proc.Spec{Name: n.name, Program: f.program, Env: []string{"RATTANTIDE_BOOT=" + n.settings}, Dir: f.dir}
	if n.clock != "" {
		spec.Program = os.Args[0]
		spec.Env = append(spec.Env, clockFile+"="+n.clock)
	}
	process, err := proc.Launch(spec)
	if err != nil {
		f.t.Errorf("start of %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
}

// current returns the node's process, which may have ended.
func (n *node) current() *proc.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the node's process, if it runs.
func (n *node) signal(s syscall.Signal) {
	if p := n.current(); !p.Exited() {
		_ = p.Signal(s)
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(name, service, kind string, attempts int, resume bool) any {
		return map[string]any{
			"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 500,
			"service": service, "maxAttempts": attempts, "streamResume": resume, "gapTargetMs": 500,
		}
	}
	f.store.Set("config", "main", map[string]any{
		"version": f.version,
		"routes": []any{
			route("order", "app", "non_idempotent", 1, false), route("lookup", "app", "idempotent", 2, false),
			route("chat", "llm", "streaming", 1, false), route("resume", "llm", "streaming", 2, true),
		},
		"services": []any{map[string]any{"name": "app", "maxConns": 200}, map[string]any{"name": "llm", "maxConns": 200}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": f.keys, "ratePerS": 1e6, "burst": 1e6, "unit": "token_count", "plainTokens": 1}},
	})
}

// takeKey removes a key from the configuration.
func (f *fleet) takeKey() {
	f.mu.Lock()
	f.keys = []string{keptKey}
	f.mu.Unlock()
	f.configure()
}
