package combinations

import (
	"flag"
	"os"
	"testing"

	"rattantide/internal/proc"
)

var (
	singleSeed     = flag.Int64("seed", 0, "run only this `seed`")
	extraSeeds     = flag.Int("seeds", 0, "run `N` seeds in addition to the fixed list")
	firstExtraSeed = flag.Int64("from", 1000, "first additional `seed`")
	logDir         = flag.String("logs", "", "write the processes' logs to a new sub-directory of this existing `directory`")
)

// binDir is the directory of the built programs.
var binDir string

// TestMain builds the programs once for all seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(proc.RunWithPrograms(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}
