// Package scenarios runs the scripts in testdata over real processes.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"rattantide/test/scenarios/harness"
)

var bin string

// TestMain builds the programs once for all scripts.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "rattantide-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	build := exec.Command("go", "build", "-o", bin, "rattantide/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs:", err)
		return 1
	}
	return m.Run()
}

// Each script states in its first lines which failure it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: harness.Setup(bin, "shared"),
		Cmds:  harness.Commands(),
	})
}
