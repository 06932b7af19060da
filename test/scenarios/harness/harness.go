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
	// defaultWait bounds each wait. It is far above what any condition takes,
	// because the machines that run the scenarios are shared.
	defaultWait = 30 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 10 * time.Millisecond

	peerToken      = "peer-secret"
	operatorToken  = "operator-secret"
	workspaceToken = "workspace-secret"
)

type stateKey struct{}

// state is what belongs to one running script.
type state struct {
	bin  string
	work string

	mu        sync.Mutex
	processes map[string]*process
	order     []string
	streams   map[string]*streams
	orders    map[string]*orders
	reclaims  map[string][]*time.Timer
}

// Setup prepares a script. The programs are in the directory bin; the files in
// the directory shared are copied into each script's directory.
func Setup(bin, shared string) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		if err := os.CopyFS(env.WorkDir, os.DirFS(shared)); err != nil {
			return err
		}
		s := &state{
			bin: bin, work: env.WorkDir, processes: map[string]*process{},
			streams: map[string]*streams{}, orders: map[string]*orders{}, reclaims: map[string][]*time.Timer{},
		}
		env.Values[stateKey{}] = s
		env.Setenv("PATH", bin+string(os.PathListSeparator)+os.Getenv("PATH"))
		env.Setenv("RATTANTIDE_OPERATOR_TOKEN", operatorToken)
		env.Defer(s.close)
		return nil
	}
}

// Commands returns the commands of scenarios.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"start":    positive(cmdStart),
		"shutdown": positive(cmdStop),
		"sigkill":  positive(cmdKill),
		"freeze":   positive(cmdFreeze),
		"thaw":     positive(cmdThaw),
		"reclaim":  positive(cmdReclaim),
		"cancel":   positive(cmdCancel),
		"unlist":   positive(cmdUnlist),
		"outage":   positive(cmdOutage),
		"fault":    positive(cmdFault),
		"stream":   positive(cmdStream),
		"load":     positive(cmdLoad),
		"unload":   positive(cmdUnload),
		"order":    positive(cmdOrder),
		"audit":    positive(cmdAudit),
		"await":    positive(cmdWait),
		"expect":   cmdExpect,
	}
}

// positive refuses the negation of a command for which it has no meaning.
func positive(run func(*testscript.TestScript, *state, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		run(ts, stateOf(ts), args)
	}
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// close ends everything that the script started.
func (s *state) close() {
	s.mu.Lock()
	var all []*process
	for _, timers := range s.reclaims {
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

// find returns a process by name.
func (s *state) find(ts *testscript.TestScript, name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		ts.Fatalf("no process is named %q", name)
	}
	return p
}

// ofKind returns the ready processes of a kind in the order of their start.
func (s *state) ofKind(kind string) []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, name := range s.order {
		if p := s.processes[name]; p != nil && p.kind == kind && p.address != "" && !p.exited() {
			out = append(out, p)
		}
	}
	return out
}

// addressOf returns the address of the first running process of a kind.
func (s *state) addressOf(kind string) string {
	if all := s.ofKind(kind); len(all) > 0 {
		return all[0].address
	}
	return ""
}

// daemons returns the addresses of the daemons that were started and not
// killed, as a caller that cached the list of entries knows them.
func (s *state) daemons() []string {
	var out []string
	for _, p := range s.ofKind("daemon") {
		out = append(out, p.address)
	}
	return out
}

// members returns the processes that a name or "domain:D" stands for.
func (s *state) members(ts *testscript.TestScript, target string) []*process {
	domain, whole := strings.CutPrefix(target, "domain:")
	if !whole {
		return []*process{s.find(ts, target)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, name := range s.order {
		if p := s.processes[name]; p.labels["domain"] == domain && !p.exited() {
			out = append(out, p)
		}
	}
	return out
}

// dump logs the end of each process's output and what callers were told, for
// the cause of a failure.
func (s *state) dump(ts *testscript.TestScript) {
	for name, group := range s.streams {
		ts.Logf("stream %s: %v", name, group.reasons())
	}
	const lines = 25
	files, _ := filepath.Glob(filepath.Join(s.work, "*.log"))
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

// fail dumps the processes' output and ends the script.
func (s *state) fail(ts *testscript.TestScript, format string, args ...any) {
	s.dump(ts)
	ts.Fatalf(format, args...)
}

// pairs splits key=value arguments from the rest, which starts at the first
// argument that is none or is a flag.
func pairs(args []string) (map[string]string, []string) {
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

// until looks at a condition until it holds or the time is over.
func until(limit time.Duration, holds func() bool) bool {
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
