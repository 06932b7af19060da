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
	// address is set once, under the state's mutex, when the process is ready.
	address string
	labels  map[string]string
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process, frozen or not, and waits for it.
func (p *process) kill() {
	if !p.exited() {
		_ = p.command.Process.Kill()
	}
	<-p.done
}

// code returns the exit code, or -1 while the process runs or when a signal
// ended it.
func (p *process) code() int {
	if !p.exited() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

func cmdStart(ts *testscript.TestScript, s *state, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME KIND [key=value...] [flags...]")
	}
	name, kind := args[0], args[1]
	labels, flags := pairs(args[2:])
	if old := s.processes[name]; old != nil && !old.exited() {
		ts.Fatalf("%s runs already", name)
	}
	p := &process{name: name, kind: kind, labels: labels, done: make(chan struct{})}
	file := filepath.Join(s.work, name+".addr")
	ts.Check(removeIfExists(file))
	log, err := os.OpenFile(filepath.Join(s.work, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.command = exec.Command(s.program(p), append(s.arguments(p, file), flags...)...)
	p.command.Dir = s.work
	p.command.Stdout, p.command.Stderr = log, log
	ts.Check(p.command.Start())
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	s.mu.Lock()
	if s.processes[name] == nil {
		s.order = append(s.order, name)
	}
	s.processes[name] = p
	s.mu.Unlock()
	address := ""
	ready := until(defaultWait, func() bool {
		content, err := os.ReadFile(file)
		address = strings.TrimSpace(string(content))
		return p.exited() || err == nil && address != ""
	})
	if !ready || p.exited() {
		s.fail(ts, "%s did not start (exit code %d)", name, p.code())
	}
	s.mu.Lock()
	p.address = address
	s.mu.Unlock()
	ts.Setenv(name, p.address)
	if kind == "daemon" {
		ts.Setenv("RATTANTIDE_ADDRESS", strings.Join(s.daemons(), ","))
	}
	s.list(ts, p, "live")
}

func (s *state) program(p *process) string {
	if p.kind == "daemon" {
		return filepath.Join(s.bin, "rattantided")
	}
	return filepath.Join(s.bin, "standin")
}

// arguments returns the flags that connect a process with the others.
func (s *state) arguments(p *process, addressFile string) []string {
	label := func(key, otherwise string) string {
		if value := p.labels[key]; value != "" {
			return value
		}
		return otherwise
	}
	common := []string{"-listen", "127.0.0.1:0", "-address-file", addressFile}
	switch p.kind {
	case "daemon":
		return append(common, "-name", p.name, "-domain", label("domain", "zone-a"), "-region", label("region", "region-1"),
			"-object-api", s.addressOf("objectapi"), "-instance-list", s.addressOf("instances"), "-cloud", s.addressOf("cloud"),
			"-peer-token", peerToken, "-operator-token", operatorToken, "-log-requests", "1")
	case "engine", "service":
		out := append([]string{p.kind}, common...)
		out = append(out, "-name", p.name, "-pool", label("pool", ""), "-version", label("version", "v1"))
		if weights := s.addressOf("weights"); weights != "" && p.kind == "engine" {
			out = append(out, "-weights", weights)
		}
		return append(out, "-log-file", s.callLog(p.name))
	}
	return append([]string{p.kind}, append(common, "-log-file", s.callLog(p.name))...)
}

func (s *state) callLog(name string) string { return filepath.Join(s.work, name+".calls") }

// list puts an instance on the instance list, when there is one.
func (s *state) list(ts *testscript.TestScript, p *process, state string) {
	role := "upstream"
	switch p.kind {
	case "daemon":
		role = "daemon"
	case "engine", "service":
	default:
		return
	}
	lists := s.ofKind("instances")
	if len(lists) == 0 {
		return
	}
	i := instances.Instance{
		Name: p.name, Address: p.address, Domain: p.labels["domain"], Region: p.labels["region"], Role: role,
		Pool: p.labels["pool"], Version: p.labels["version"], Class: p.labels["class"], PricePerHour: 1, State: state,
	}
	for field, otherwise := range map[*string]string{&i.Domain: "zone-a", &i.Region: "region-1", &i.Class: "reclaimable"} {
		if *field == "" {
			*field = otherwise
		}
	}
	if role == "upstream" && i.Version == "" {
		i.Version = "v1"
	}
	ts.Check(post(lists[0].address, "/control/instances", i))
}

func cmdStop(ts *testscript.TestScript, s *state, args []string) {
	p := s.find(ts, only(ts, args))
	ts.Check(p.command.Process.Signal(syscall.SIGTERM))
	if !until(2*defaultWait, p.exited) {
		s.fail(ts, "%s did not stop", p.name)
	}
	if p.code() != 0 {
		s.fail(ts, "%s stopped with exit code %d", p.name, p.code())
	}
}

func cmdKill(ts *testscript.TestScript, s *state, args []string) {
	s.find(ts, only(ts, args)).kill()
}

func cmdFreeze(ts *testscript.TestScript, s *state, args []string) {
	ts.Check(s.find(ts, only(ts, args)).command.Process.Signal(syscall.SIGSTOP))
}

func cmdThaw(ts *testscript.TestScript, s *state, args []string) {
	ts.Check(s.find(ts, only(ts, args)).command.Process.Signal(syscall.SIGCONT))
}

func only(ts *testscript.TestScript, args []string) string {
	if len(args) != 1 {
		ts.Fatalf("expected one name, got %q", args)
	}
	return args[0]
}

func removeIfExists(file string) error {
	if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}
