package demo

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// The documented exit codes of the operators' tool that the demo expects.
const (
	toolOK         = 0
	toolMoveUndone = 4
)

// toolResult is the exit code and output of one run of the operators' tool.
type toolResult struct {
	code   int
	stdout string
	stderr string
}

// runTool runs the operators' tool with the addresses of all daemons.
func (d *demo) runTool(ctx context.Context, stdin string, args ...string) (toolResult, error) {
	command := exec.CommandContext(ctx, filepath.Join(d.options.Bin, "rattantide"), args...)
	command.Env = append(os.Environ(),
		"RATTANTIDE_ADDRESS="+strings.Join(d.daemonAddresses(), ","), "RATTANTIDE_OPERATOR_TOKEN="+operatorToken,
		"RATTANTIDE_OPERATOR=demo")
	command.Stdin = strings.NewReader(stdin)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return toolResult{}, errors.Trace(err)
	}
	return toolResult{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}, nil
}

// check returns an error unless the tool exited with the code want.
func (r toolResult) check(want int) error {
	if r.code == want {
		return nil
	}
	return errors.Errorf("rattantide exited with code %d, expected %d: %s%s", r.code, want, r.stdout, r.stderr)
}
