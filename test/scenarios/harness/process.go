package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"rattantide/internal/standin/instances"
)

// process is a daemon or stand-in that the script started.
type process struct {
	name string
	kind string
	// address is set once, with scriptState.mu held, when the process is ready.
	address string
	// labels are the key=value arguments of start.
	labels map[string]string
	cmd    *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL, which also ends a frozen process, and waits for the exit.
func (p *process) kill() {
	if !p.hasExited() {
		_ = p.cmd.Process.Kill()
	}
	<-p.done
}

// exitCode returns the exit code, or -1 while the process is running or if a signal
// ended it.
func (p *process) exitCode() int {
	if !p.hasExited() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// cmdStart implements start: it starts a process, waits until it has written its
// address, and adds it to the instance list.
func cmdStart(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME KIND [key=value...] [flags...]")
	}
	name, kind := args[0], args[1]
	labels, flags := splitPairs(args[2:])
	if previous := s.processes[name]; previous != nil && !previous.hasExited() {
		ts.Fatalf("%s is already running", name)
	}
	p := &process{name: name, kind: kind, labels: labels, done: make(chan struct{})}
	addressFile := filepath.Join(s.workDir, name+".addr")
	ts.Check(removeIfExists(addressFile))
	log, err := os.OpenFile(filepath.Join(s.workDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.cmd = exec.Command(s.programPath(p), append(s.arguments(p, addressFile), flags...)...)
	p.cmd.Dir = s.workDir
	p.cmd.Stdout, p.cmd.Stderr = log, log
	ts.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	s.mu.Lock()
	if s.processes[name] == nil {
		s.startOrder = append(s.startOrder, name)
	}
	s.processes[name] = p
	s.mu.Unlock()
	address := ""
	isReady := pollUntil(defaultTimeout, func() bool {
		content, err := os.ReadFile(addressFile)
		address = strings.TrimSpace(string(content))
		return p.hasExited() || err == nil && address != ""
	})
	if !isReady || p.hasExited() {
		s.failWithDiagnostics(ts, "%s did not become ready (exit code %d)", name, p.exitCode())
	}
	s.mu.Lock()
	p.address = address
	s.mu.Unlock()
	ts.Setenv(name, p.address)
	if kind == "daemon" {
		ts.Setenv("RATTANTIDE_ADDRESS", strings.Join(s.daemonAddresses(), ","))
	}
	s.setInstanceState(ts, p, "live")
}

// programPath returns the path of the program for the kind of a process.
func (s *scriptState) programPath(p *process) string {
	if p.kind == "daemon" {
		return filepath.Join(s.binDir, "rattantided")
	}
	return filepath.Join(s.binDir, "standin")
}

// arguments returns the flags with which a process uses the running stand-ins.
func (s *scriptState) arguments(p *process, addressFile string) []string {
	label := func(key, fallback string) string {
		if value := p.labels[key]; value != "" {
			return value
		}
		return fallback
	}
	common := []string{"-listen", "127.0.0.1:0", "-address-file", addressFile}
	switch p.kind {
	case "daemon":
		return append(common, "-name", p.name, "-domain", label("domain", "zone-a"), "-region", label("region", "region-1"),
			"-object-api", s.firstAddress("objectapi"), "-instance-list", s.firstAddress("instances"), "-cloud", s.firstAddress("cloud"),
			"-peer-token", peerToken, "-operator-token", operatorToken, "-log-requests", "1")
	case "engine", "service":
		out := append([]string{p.kind}, common...)
		out = append(out, "-name", p.name, "-pool", label("pool", ""), "-version", label("version", "v1"))
		if weights := s.firstAddress("weights"); weights != "" && p.kind == "engine" {
			out = append(out, "-weights", weights)
		}
		return append(out, "-log-file", s.callLogPath(p.name))
	}
	return append([]string{p.kind}, append(common, "-log-file", s.callLogPath(p.name))...)
}

func (s *scriptState) callLogPath(name string) string { return filepath.Join(s.workDir, name+".calls") }

// setInstanceState adds a daemon, engine or service to the instance list, or updates
// its state there. It does nothing for other kinds, or if no instance list is running.
func (s *scriptState) setInstanceState(ts *testscript.TestScript, p *process, state string) {
	role := "upstream"
	switch p.kind {
	case "daemon":
		role = "daemon"
	case "engine", "service":
	default:
		return
	}
	lists := s.readyProcesses("instances")
	if len(lists) == 0 {
		return
	}
	i := instances.Instance{
		Name: p.name, Address: p.address, Domain: p.labels["domain"], Region: p.labels["region"], Role: role,
		Pool: p.labels["pool"], Version: p.labels["version"], Class: p.labels["class"], PricePerHour: 1, State: state,
	}
	for field, fallback := range map[*string]string{&i.Domain: "zone-a", &i.Region: "region-1", &i.Class: "reclaimable"} {
		if *field == "" {
			*field = fallback
		}
	}
	if role == "upstream" && i.Version == "" {
		i.Version = "v1"
	}
	ts.Check(postJSON(lists[0].address, "/control/instances", i))
}

// cmdShutdown implements shutdown: it sends SIGTERM and expects exit code 0.
func cmdShutdown(ts *testscript.TestScript, s *scriptState, args []string) {
	p := s.mustProcess(ts, singleName(ts, args))
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	if !pollUntil(2*defaultTimeout, p.hasExited) {
		s.failWithDiagnostics(ts, "%s did not exit after SIGTERM within the time limit", p.name)
	}
	if p.exitCode() != 0 {
		s.failWithDiagnostics(ts, "%s exited with code %d, not 0", p.name, p.exitCode())
	}
}

// cmdSigkill implements sigkill.
func cmdSigkill(ts *testscript.TestScript, s *scriptState, args []string) {
	s.mustProcess(ts, singleName(ts, args)).kill()
}

// cmdFreeze implements freeze.
func cmdFreeze(ts *testscript.TestScript, s *scriptState, args []string) {
	ts.Check(s.mustProcess(ts, singleName(ts, args)).cmd.Process.Signal(syscall.SIGSTOP))
}

// cmdThaw implements thaw.
func cmdThaw(ts *testscript.TestScript, s *scriptState, args []string) {
	ts.Check(s.mustProcess(ts, singleName(ts, args)).cmd.Process.Signal(syscall.SIGCONT))
}

// singleName returns the only argument and fails the script on any other number.
func singleName(ts *testscript.TestScript, args []string) string {
	if len(args) != 1 {
		ts.Fatalf("expected exactly one name, got %q", args)
	}
	return args[0]
}

func removeIfExists(file string) error {
	if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}
