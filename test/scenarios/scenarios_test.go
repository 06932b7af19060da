// Package scenarios runs the scripts in testdata against daemons and stand-ins that
// run as processes.
package scenarios

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"rattantide/internal/proc"
	"rattantide/test/scenarios/harness"
)

// binDir is the directory of the built programs.
var binDir string

// TestMain builds the programs once for all scripts.
func TestMain(m *testing.M) {
	os.Exit(proc.RunWithPrograms(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

// Runs each script as a subtest. The first lines of a script state which failure it
// guards against. Scripts that KNOWN-RED.txt lists as "TestScenarios/NAME" are
// skipped unless RUN_KNOWN_RED is set.
func TestScenarios(t *testing.T) {
	knownRed, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	setup := harness.Setup(binDir, "shared")
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			name := "TestScenarios/" + strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
			if slices.Contains(strings.Fields(string(knownRed)), name) && os.Getenv("RUN_KNOWN_RED") == "" {
				env.T().Skip(name, "is listed in KNOWN-RED.txt")
			}
			return setup(env)
		},
		Cmds: harness.Commands(),
	})
}
