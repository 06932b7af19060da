package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
)

const (
	runnerCount = 4
	// streamEvents is the number of events of each stream.
	streamEvents = 5
	// streamInterval is the time between two events, so that faults happen within streams.
	streamInterval = 40 * time.Millisecond
	// unframedOneIn is how many streams there are to one that ends with its connection. Its
	// clients take an ordinary end of the connection for its end.
	unframedOneIn = 3
	// validKey and revokedKey are API keys of the clients' workspace. revokeKey
	// removes revokedKey during a run.
	validKey   = "kept"
	revokedKey = "taken"
	// usageWindowSeconds is the length of a usage report's window.
	usageWindowSeconds = 2
	// runnerRestartDelay is how long a runner is down after a crash.
	runnerRestartDelay = 700 * time.Millisecond
)

// node is a daemon and its process.
type node struct {
	name, ip, settingsPath string
	// clockPath is the file with the offset of the node's wall clock, see setClock.
	// Nodes without one run the regular program, with the machine's clock.
	clockPath string
	// front carries the clients' connections to the node; store and cloud carry the
	// node's connections to the platform.
	front, store, cloud *link
	// disturbances are the starts, ends and signals of the process.
	disturbances disturbances

	mu        sync.Mutex
	process   *proc.Process
	startedAt time.Time
}

// initializationTime exceeds the time in which a process initializes its packages. The Go
// runtime ends a process that gets SIGHUP before any line of its program runs.
const initializationTime = 300 * time.Millisecond

// untilInitialized returns the time until the process can have begun to handle signals.
func (n *node) untilInitialized() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(0, time.Until(n.startedAt.Add(initializationTime)))
}

// fleet is a deployment of daemons, platform stand-ins and runners on loopback
// addresses.
type fleet struct {
	t       testing.TB
	program string
	// dir holds the settings, clock and log files of the nodes.
	dir string
	// port is the port of each node's front listener. The next ports are those of the
	// readiness listener, of the directory listener and of the node's port range.
	port    int
	store   *platformstore.Store
	cloud   *platformcloud.Cloud
	runners []*runner.Runner
	// processes serve the runners with the same index.
	processes []*runner.Process
	// runnerLinks carry all connections to the runner with the same index.
	runnerLinks []*link
	nodes       []*node

	mu            sync.Mutex
	configVersion int
	// born holds when the process of the runner with the same index started, and departures
	// the times in which runners said that they leave.
	born       [runnerCount]int64
	departures []departure
	apiKeys    []string
}

// startFleet starts the stand-ins, the runners and the given number of daemons. It
// does not wait until they are ready. The processes are killed when the test ends.
func startFleet(t testing.TB, program string, nodes int) *fleet {
	f := &fleet{t: t, program: program, store: platformstore.New(), cloud: platformcloud.New(), apiKeys: []string{validKey, revokedKey}}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return s.Listener.Addr().String()
	}
	storeAddress, cloudAddress := serve(f.store), serve(f.cloud)
	for i := range runnerCount {
		r := &runner.Runner{ID: "i-" + strconv.Itoa(i)}
		if i%2 == 1 {
			r.Events, r.EventInterval, r.UnframedOneIn = streamEvents, streamInterval, unframedOneIn
		}
		process, err := runner.StartProcess(r, runnerRestartDelay)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, process.Close()) })
		r.CrashPart, r.OnCrash = crashPart, process.Crash
		runnerLink := startLink(t, process.Address())
		f.processes = append(f.processes, process)
		f.runners, f.runnerLinks = append(f.runners, r), append(f.runnerLinks, runnerLink)
	}
	f.writeRunners()
	f.writeConfig()
	// All nodes use the same ports, each on an address of its own.
	port, err := proc.FreePorts("127.0.3.1", 5)
	assert.NilError(t, err)
	f.port = port
	f.dir = t.TempDir()
	for i := range nodes {
		n := &node{name: "front-" + strconv.Itoa(i), ip: "127.0.3." + strconv.Itoa(i+1)}
		n.front = startLink(t, n.ip+":"+strconv.Itoa(f.port))
		n.store, n.cloud = startLink(t, storeAddress), startLink(t, cloudAddress)
		n.settingsPath = filepath.Join(f.dir, n.name+".toml")
		text := fmt.Sprintf("nodeId = %q\nip = %q\nzone = \"zone-a\"\nregion = \"r\"\nportRange = [%d,%d]\n[listen]\nfront = \"%s:%d\"\nreadiness = \"%s:%d\"\ndirectory = \"%s:%d\"\n[bounds]\ngraceS = 4\nrevokeMs = 5000\nusageWindowS = %d\nretryBudgetRatio = 0.2\nretryBudgetSlack = 60\nbudgetWindowS = 10\n[platform]\naddress = %q\n[cloudApi]\naddress = %q\nduties = [\"usage_report\"]\n",
			n.name, n.ip, f.port+3, f.port+4, n.ip, f.port, n.ip, f.port+1, n.ip, f.port+2, usageWindowSeconds, n.store.address(), n.cloud.address())
		assert.NilError(t, os.WriteFile(n.settingsPath, []byte(text), 0o600))
		if i == 0 {
			n.clockPath = filepath.Join(f.dir, n.name+".clock")
		}
		f.nodes = append(f.nodes, n)
		f.startNode(n)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.currentProcess().Kill()
		}
	})
	return f
}

// startNode starts the process of n. A node with a clock file runs the test binary
// as a daemon, see TestMain.
func (f *fleet) startNode(n *node) {
	spec := proc.Spec{Name: n.name, Program: f.program, Env: []string{"RATTANTIDE_BOOT=" + n.settingsPath}, Dir: f.dir}
	if n.clockPath != "" {
		spec.Program = os.Args[0]
		spec.Env = append(spec.Env, clockFileEnv+"="+n.clockPath)
	}
	n.disturbances.record()
	process, err := proc.Launch(spec)
	if err != nil {
		f.t.Errorf("starting %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.startedAt = process, time.Now()
}

// currentProcess returns the process that was started last, which may have exited.
func (n *node) currentProcess() *proc.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the node's process unless it has exited.
func (n *node) signal(s syscall.Signal) {
	n.disturbances.record()
	if p := n.currentProcess(); !p.HasExited() {
		_ = p.Signal(s)
	}
}

// writeRunners writes the entries of the runners to the store.
func (f *fleet) writeRunners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.runners {
		service := "app"
		if r.Events > 0 {
			service = "llm"
		}
		f.store.Set("servers", r.ID, map[string]any{
			"service": service, "address": f.runnerLinks[i].address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "seqNo": 1, "born": f.born[i],
		})
	}
}

// writeConfig writes the configuration with the next version number to the store.
func (f *fleet) writeConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	f.storeConfig()
}

// rewriteConfig writes the latest configuration to the store again.
func (f *fleet) rewriteConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeConfig()
}

// storeConfig writes the latest configuration. The caller holds f.mu.
func (f *fleet) storeConfig() {
	route := func(name, service, kind string, attempts int, resume bool) any {
		return map[string]any{
			"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 500,
			"service": service, "maxAttempts": attempts, "streamResume": resume, "gapTargetMs": 500,
		}
	}
	f.store.Set("config", "main", map[string]any{
		"version": f.configVersion,
		"routes": []any{
			route("order", "app", "non_idempotent", 1, false), route("lookup", "app", "idempotent", 2, false),
			route("chat", "llm", "streaming", 1, false), route("resume", "llm", "streaming", 2, true),
		},
		"services": []any{map[string]any{"name": "app", "maxConns": 200}, map[string]any{"name": "llm", "maxConns": 200}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": f.apiKeys, "ratePerS": 1e6, "burst": 1e6, "unit": "token_count", "plainTokens": 1}},
	})
}

// revokeKey writes a configuration without revokedKey.
func (f *fleet) revokeKey() {
	f.mu.Lock()
	f.apiKeys = []string{validKey}
	f.mu.Unlock()
	f.writeConfig()
}
