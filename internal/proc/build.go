package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/juju/errors"
)

// exitBuildFailed is the exit code of a test run whose programs could not be built.
const exitBuildFailed = 1

// Build compiles the programs of this repository into dir. The working directory of
// the process must be within the module.
func Build(ctx context.Context, dir string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "rattantide/cmd/...")
	command.Stderr = os.Stderr
	return errors.Annotate(command.Run(), "cannot build the programs")
}

// RunWithPrograms builds the programs into a temporary directory, calls tests with its
// path, removes it, and returns the exit code of the tests. If the programs cannot
// be built, it returns 1 and does not call tests.
func RunWithPrograms(tests func(dir string) int) int {
	dir, err := os.MkdirTemp("", "rattantide-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBuildFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBuildFailed
	}
	return tests(dir)
}
