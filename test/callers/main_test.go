package callers

import (
	"os"
	"path/filepath"
	"testing"

	"rattantide/internal/proc"
)

// gatewayProgram is the path of the daemon's program.
var gatewayProgram string

func TestMain(m *testing.M) {
	os.Exit(proc.RunWithPrograms(func(dir string) int {
		gatewayProgram = filepath.Join(dir, "rattantide-gateway")
		return m.Run()
	}))
}
