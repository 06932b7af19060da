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
	// startTimeout is how long a program may take to write its address.
	startTimeout = 10 * time.Second
	// logTail is how much of a log is quoted in an error, in bytes.
	logTail = 600
)

// Process is a started program. Its output goes to a file.
type Process struct {
	Name string
	// Address is the address that the program listens on.
	Address string
	// LogPath names the file with the program's output.
	LogPath string

	command *exec.Cmd
	ended   chan struct{}
}

// Launch runs a program and does not wait for anything.
func Launch(spec Spec) (*Process, error) {
	p := &Process{Name: spec.Name, LogPath: filepath.Join(spec.Dir, spec.Name+".log"), ended: make(chan struct{})}
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
		close(p.ended)
	}()
	return p, nil
}

// Start runs a program and waits until it has written the address that it
// listens on. The program must take -address-file.
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
	err = Eventually(ctx, startTimeout, p.ended, func() error {
		content, err := os.ReadFile(addressFile)
		p.Address = strings.TrimSpace(string(content))
		return err
	})
	if err != nil {
		p.Kill()
		return nil, errors.Annotatef(err, "%s did not start: %s", spec.Name, p.LastLines())
	}
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Code returns the exit code, or -1 while the process runs or when a signal
// ended it.
func (p *Process) Code() int {
	if !p.Exited() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Stop sends SIGTERM and waits for the end; after limit it kills the process.
// It reports whether the process ended by itself.
func (p *Process) Stop(limit time.Duration) bool {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}

// Kill ends the process, frozen or not, as an instance that is taken away, and
// waits for it.
func (p *Process) Kill() {
	if !p.Exited() {
		_ = p.command.Process.Kill()
	}
	<-p.ended
}

// LastLines returns the end of the process's output for a message.
func (p *Process) LastLines() string {
	content, _ := os.ReadFile(p.LogPath)
	if len(content) > logTail {
		content = content[len(content)-logTail:]
	}
	return strings.TrimSpace(string(content))
}
