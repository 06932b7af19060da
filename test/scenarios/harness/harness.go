package harness

import (
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// defaultTimeout bounds each wait. It is far longer than any condition needs,
	// because the scenarios run on shared machines.
	defaultTimeout = 30 * time.Second
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 10 * time.Millisecond

	peerToken     = "peer-secret"
	operatorToken = "operator-secret"
	// workspaceToken is the token of the workspace in shared/config.yaml, which
	// contains its SHA-256 hash.
	workspaceToken = "workspace-secret"
)

// stateKey is the key of the scriptState in the values of a testscript environment.
type stateKey struct{}

// scriptState holds the processes and the traffic of one running script. mu guards the
// maps and startOrder, the names of the processes in the order of their first start.
type scriptState struct {
	binDir  string
	workDir string

	mu            sync.Mutex
	processes     map[string]*process
	startOrder    []string
	streams       map[string]*streams
	orders        map[string]*orders
	reclaimTimers map[string][]*time.Timer
}

// Setup returns a function that prepares the environment of a script. bin is the
// directory of the programs. The files in the directory shared are copied into the
// work directory of each script.
func Setup(bin, shared string) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		if err := os.CopyFS(env.WorkDir, os.DirFS(shared)); err != nil {
			return err
		}
		s := &scriptState{
			binDir: bin, workDir: env.WorkDir, processes: map[string]*process{},
			streams: map[string]*streams{}, orders: map[string]*orders{}, reclaimTimers: map[string][]*time.Timer{},
		}
		env.Values[stateKey{}] = s
		env.Setenv("PATH", bin+string(os.PathListSeparator)+os.Getenv("PATH"))
		env.Setenv("RATTANTIDE_OPERATOR_TOKEN", operatorToken)
		env.Defer(s.close)
		return nil
	}
}

// Commands returns the scenario commands by name.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"start":    withoutNegation(cmdStart),
		"shutdown": withoutNegation(cmdShutdown),
		"sigkill":  withoutNegation(cmdSigkill),
		"freeze":   withoutNegation(cmdFreeze),
		"thaw":     withoutNegation(cmdThaw),
		"reclaim":  withoutNegation(cmdReclaim),
		"cancel":   withoutNegation(cmdCancel),
		"unlist":   withoutNegation(cmdUnlist),
		"outage":   withoutNegation(cmdOutage),
		"fault":    withoutNegation(cmdFault),
		"stream":   withoutNegation(cmdStream),
		"load":     withoutNegation(cmdLoad),
		"unload":   withoutNegation(cmdUnload),
		"order":    withoutNegation(cmdOrder),
		"audit":    withoutNegation(cmdAudit),
		"await":    withoutNegation(cmdAwait),
		"expect":   cmdExpect,
	}
}

// withoutNegation wraps a command that cannot be negated with "!".
func withoutNegation(run func(*testscript.TestScript, *scriptState, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		run(ts, stateOf(ts), args)
	}
}

func stateOf(ts *testscript.TestScript) *scriptState { return ts.Value(stateKey{}).(*scriptState) }

// close stops the pending reclaims, cancels the traffic and kills all processes.
func (s *scriptState) close() {
	s.mu.Lock()
	var all []*process
	for _, timers := range s.reclaimTimers {
		for _, t := range timers {
			t.Stop()
		}
	}
	for _, p := range s.processes {
		all = append(all, p)
	}
	for _, group := range s.streams {
		group.cancel()
	}
	for _, group := range s.orders {
		group.cancel()
	}
	s.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
}

// mustProcess returns a process by name and fails the script if there is none.
func (s *scriptState) mustProcess(ts *testscript.TestScript, name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		ts.Fatalf("unknown process %q", name)
	}
	return p
}

// readyProcesses returns the processes of a kind that are ready and have not exited,
// in the order of their first start.
func (s *scriptState) readyProcesses(kind string) []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, name := range s.startOrder {
		if p := s.processes[name]; p != nil && p.kind == kind && p.address != "" && !p.hasExited() {
			out = append(out, p)
		}
	}
	return out
}

// firstAddress returns the address of the first ready process of a kind, or "".
func (s *scriptState) firstAddress(kind string) string {
	if all := s.readyProcesses(kind); len(all) > 0 {
		return all[0].address
	}
	return ""
}

// daemonAddresses returns the addresses of the daemons that have not exited, including
// frozen and leaving ones, like a caller with a cached list of entries.
func (s *scriptState) daemonAddresses() []string {
	var out []string
	for _, p := range s.readyProcesses("daemon") {
		out = append(out, p.address)
	}
	return out
}

// targetProcesses returns the process with a name, or the running processes in a
// failure domain for "domain:D".
func (s *scriptState) targetProcesses(ts *testscript.TestScript, target string) []*process {
	domain, isDomain := strings.CutPrefix(target, "domain:")
	if !isDomain {
		return []*process{s.mustProcess(ts, target)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, name := range s.startOrder {
		if p := s.processes[name]; p.labels["domain"] == domain && !p.hasExited() {
			out = append(out, p)
		}
	}
	return out
}

// logDiagnostics logs the results of incomplete streams and the last lines of each
// process's output.
func (s *scriptState) logDiagnostics(ts *testscript.TestScript) {
	for name, group := range s.streams {
		ts.Logf("stream %s: %v", name, group.failureCounts())
	}
	const lines = 25
	files, _ := filepath.Glob(filepath.Join(s.workDir, "*.log"))
	sort.Strings(files)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil || len(content) == 0 {
			continue
		}
		all := strings.Split(strings.TrimSpace(string(content)), "\n")
		ts.Logf("--- %s\n%s", filepath.Base(file), strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

// failWithDiagnostics logs diagnostics and fails the script.
func (s *scriptState) failWithDiagnostics(ts *testscript.TestScript, format string, args ...any) {
	s.logDiagnostics(ts)
	ts.Fatalf(format, args...)
}

// splitPairs returns the leading key=value arguments and the remaining ones, which
// start at the first flag or argument without "=".
func splitPairs(args []string) (map[string]string, []string) {
	out := map[string]string{}
	for i, arg := range args {
		key, value, ok := strings.Cut(arg, "=")
		if !ok || strings.HasPrefix(arg, "-") {
			return out, args[i:]
		}
		out[key] = value
	}
	return out, nil
}

// pollUntil evaluates a condition every pollInterval until it holds or the limit has
// passed, and reports whether it held.
func pollUntil(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if holds() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		<-ticker.C
	}
}
