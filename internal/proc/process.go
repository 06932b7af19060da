package proc

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

const (
	// startTimeout limits the time that a program takes to write its address.
	startTimeout = 10 * time.Second
	// logTailBytes is the maximum length of the log excerpt in an error.
	logTailBytes = 600
)

// Process is a started program. Its output goes to a file. Its methods are safe for
// concurrent use.
type Process struct {
	Name string
	// Address is the address that the program listens on. Launch leaves it empty.
	Address string
	// LogPath is the path of the file with the program's output.
	LogPath string

	command *exec.Cmd
	done    chan struct{}
}

// Launch starts a program and returns without waiting until it is ready. The output
// is appended to a file in spec.Dir, whose path is Process.LogPath.
func Launch(spec Spec) (*Process, error) {
	p := &Process{Name: spec.Name, LogPath: filepath.Join(spec.Dir, spec.Name+".log"), done: make(chan struct{})}
	output, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.command = exec.Command(spec.Program, spec.Args...)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.Env = append(os.Environ(), spec.Env...)
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return nil, errors.Annotate(err, spec.Name)
	}
	go func() {
		_ = p.command.Wait()
		_ = output.Close()
		close(p.done)
	}()
	return p, nil
}

// Start starts a program and waits until it has written the address that it listens
// on, for at most 10 s. If it does not, Start kills it and returns an error. The
// program must accept the flag -address-file.
func Start(ctx context.Context, spec Spec) (*Process, error) {
	addressFile := filepath.Join(spec.Dir, spec.Name+".address")
	if err := os.Remove(addressFile); err != nil && !os.IsNotExist(err) {
		return nil, errors.Trace(err)
	}
	spec.Args = append(spec.Args[:len(spec.Args):len(spec.Args)], "-address-file", addressFile)
	p, err := Launch(spec)
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = Eventually(ctx, startTimeout, p.done, func() error {
		content, err := os.ReadFile(addressFile)
		p.Address = strings.TrimSpace(string(content))
		return err
	})
	if err != nil {
		p.Kill()
		return nil, errors.Annotatef(err, "%s did not start; end of its log: %s", spec.Name, p.LogTail())
	}
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit code, or -1 if the process is running or was terminated
// by a signal.
func (p *Process) ExitCode() int {
	if !p.HasExited() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// Signal sends a signal to the process. It returns an error if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Stop sends SIGTERM and waits until the process has ended. If it has not ended
// within limit, Stop kills it. Stop reports whether the process ended without being
// killed.
func (p *Process) Stop(limit time.Duration) bool {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}

// Kill kills the process and waits for its end. It also works on a process
// that SIGSTOP has stopped. It simulates the loss of an instance.
func (p *Process) Kill() {
	if !p.HasExited() {
		_ = p.command.Process.Kill()
	}
	<-p.done
}

// LogTail returns the end of the process's output, for error messages.
func (p *Process) LogTail() string {
	content, _ := os.ReadFile(p.LogPath)
	if len(content) > logTailBytes {
		content = content[len(content)-logTailBytes:]
	}
	return strings.TrimSpace(string(content))
}
