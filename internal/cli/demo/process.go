package demo

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 5 * time.Second

// process is a started program. Its output goes to a file.
type process struct {
	name string
	// domain is the failure domain, empty for the platform's processes; the slot
	// chooses the fixed address of a daemon.
	domain  string
	slot    int
	address string
	logPath string
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess runs a program that takes -listen and -address-file and waits
// until it has written the address it listens on.
func startProcess(ctx context.Context, dir, name, program string, env []string, args ...string) (*process, error) {
	addressFile := filepath.Join(dir, name+".address")
	p := &process{name: name, logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	output, err := os.Create(p.logPath)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(program, append(args, "-address-file", addressFile)...)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.Env = append(os.Environ(), env...)
	if err := p.command.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	err = eventually(ctx, 10*time.Second, func() error {
		content, err := os.ReadFile(addressFile)
		if err != nil {
			return err
		}
		p.address = strings.TrimSpace(string(content))
		return nil
	}, p.ended)
	if err != nil {
		p.kill()
		return nil, errors.Annotatef(err, "%s did not start: %s", name, p.lastLines())
	}
	return p, nil
}

// stop ends the process with SIGTERM, and with SIGKILL when that takes long.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill ends the process as an instance that is taken away.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// lastLines returns the end of the process's output for a message.
func (p *process) lastLines() string {
	content, _ := os.ReadFile(p.logPath)
	const longest = 600
	if len(content) > longest {
		content = content[len(content)-longest:]
	}
	return strings.TrimSpace(string(content))
}

// eventually repeats check until it succeeds, the limit passes, ctx ends, or
// one of the channels is closed; it then returns the last error.
func eventually(ctx context.Context, limit time.Duration, check func() error, gone ...chan struct{}) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	var ended chan struct{}
	if len(gone) > 0 {
		ended = gone[0]
	}
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ended:
			return errors.Annotate(err, "the process ended")
		case <-deadline.C:
			return errors.Annotatef(err, "after %s", limit)
		case <-ticker.C:
		}
	}
}
