// Package scenarios runs the scripts in testdata over real processes.
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

var bin string

// TestMain builds the programs once for all scripts.
func TestMain(m *testing.M) {
	os.Exit(proc.WithPrograms(func(dir string) int {
		bin = dir
		return m.Run()
	}))
}

// Each script states in its first lines which failure it guards against.
// Scripts that KNOWN-RED.txt names as "TestScenarios/NAME" are skipped, unless
// RUN_KNOWN_RED is set.
func TestScenarios(t *testing.T) {
	red, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	setup := harness.Setup(bin, "shared")
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			name := "TestScenarios/" + strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
			if slices.Contains(strings.Fields(string(red)), name) && os.Getenv("RUN_KNOWN_RED") == "" {
				env.T().Skip(name, "is listed in KNOWN-RED.txt")
			}
			return setup(env)
		},
		Cmds: harness.Commands(),
	})
}
