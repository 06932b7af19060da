package combinations

import (
	"flag"
	"os"
	"testing"

	"rattantide/internal/proc"
)

var (
	oneSeed   = flag.Int64("seed", 0, "run only this `seed`")
	moreSeeds = flag.Int("seeds", 0, "run `N` seeds beyond the fixed list")
	firstMore = flag.Int64("from", 1000, "first `seed` beyond the fixed list")
	logDir    = flag.String("logs", "", "keep the processes' logs below this existing `directory`")
)

// bin is the directory of the programs.
var bin string

// TestMain builds the programs once for all seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(proc.WithPrograms(func(dir string) int {
		bin = dir
		return m.Run()
	}))
}
