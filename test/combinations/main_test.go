package combinations

import (
	"context"
	"flag"
	"fmt"
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
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	flag.Parse()
	var err error
	if bin, err = os.MkdirTemp("", "rattantide-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	if err := proc.Build(context.Background(), bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
