package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/juju/errors"
)

// exitBuild is the exit code of tests whose programs could not be built.
const exitBuild = 1

// Build compiles the programs of this repository into dir. It must be called
// from within the module.
func Build(ctx context.Context, dir string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "rattantide/cmd/...")
	command.Stderr = os.Stderr
	return errors.Annotate(command.Run(), "building the programs")
}

// WithPrograms builds the programs into a directory of their own, runs tests with
// it, removes it, and returns the exit code of the tests.
func WithPrograms(tests func(dir string) int) int {
	dir, err := os.MkdirTemp("", "rattantide-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBuild
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBuild
	}
	return tests(dir)
}
