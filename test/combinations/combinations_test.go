package combinations

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/internal/standin/control"
)

const (
	// parallelSeeds bounds the processes that run at a time to about 50.
	parallelSeeds = 4
	// trafficLimit is above the 60s deadline of the chat class.
	trafficLimit = 75 * time.Second
)

// fixedSeeds are run each time. Together they have each fault of the list.
var fixedSeeds = []int64{2, 5, 13, 14, 15, 19, 21, 31, 34, 36, 39, 40}

// Guards against a fault of the list that no fixed seed injects, so that only a
// longer search would find what it breaks.
func TestFixedSeedsHaveEachFault(t *testing.T) {
	missing := map[string]bool{}
	for _, f := range faults {
		missing[f.name] = true
	}
	for _, seed := range fixedSeeds {
		for _, i := range newPlan(seed).injections {
			delete(missing, i.fault.name)
		}
	}
	assert.Equal(t, len(missing), 0, "%v", missing)
}

// Guards against answers that are lost, wrong, executed twice or reported
// wrongly when two failures meet. Seeds that KNOWN-RED.txt names as
// "TestCombinations/seed=N" are skipped, unless RUN_KNOWN_RED is set.
func TestCombinations(t *testing.T) {
	seeds := slices.Clone(fixedSeeds)
	for n := range *moreSeeds {
		seeds = append(seeds, *firstMore+int64(n))
	}
	if *oneSeed != 0 {
		seeds = []int64{*oneSeed}
	}
	red, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if !os.IsNotExist(err) {
		assert.NilError(t, err)
	}
	places := make(chan struct{}, parallelSeeds)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			if slices.Contains(strings.Fields(string(red)), t.Name()) && os.Getenv("RUN_KNOWN_RED") == "" {
				t.Skip(newPlan(seed), "is listed in KNOWN-RED.txt")
			}
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			runSeed(t, newPlan(seed))
		})
	}
}

func runSeed(t *testing.T, p *plan) {
	ctx, cancel := context.WithTimeout(t.Context(), trafficLimit+readyLimit)
	defer cancel()
	dir := t.TempDir()
	if *logDir != "" {
		var err error
		dir, err = os.MkdirTemp(*logDir, fmt.Sprintf("seed-%d-", p.seed))
		assert.NilError(t, err)
	}
	f, err := newFleet(ctx, t, dir)
	assert.NilError(t, err)
	sent, over := newTraffic(p.seed), make(chan struct{})
	begun := time.Now()
	var group errgroup.Group
	group.Go(func() error {
		defer close(over)
		return sent.run(ctx, f.daemons())
	})
	for _, i := range p.injections {
		group.Go(func() error { return i.run(ctx, f, &sent.progress, over) })
	}
	err = group.Wait()
	t.Logf("%s: %d tokens, %d orders in %s", p, sent.progress.tokens.Load(), sent.progress.orders.Load(), time.Since(begun).Round(time.Millisecond))
	assert.NilError(t, err, p)
	wrong := violations(t, f, p, sent)
	if len(wrong) > 0 {
		for _, name := range daemonNames {
			t.Logf("%s: %s", name, f.process(name).LastLines())
		}
		t.Errorf("%s\n%s\nrepeat with: go test ./test/combinations -run TestCombinations -seed %d", p, strings.Join(wrong, "\n"), p.seed)
	}
}

// violations compares what callers got with what the stand-ins executed.
func violations(t *testing.T, f *fleet, p *plan, sent *traffic) []string {
	started, executed, byCall := map[string]int{}, map[string]int{}, map[string]int{}
	for _, name := range engineNames {
		for _, entry := range readCalls(t, f, name) {
			if entry.Event == "start" || entry.Event == "import" {
				started[entry.RequestID]++
			}
		}
	}
	for _, name := range serviceNames {
		for _, entry := range readCalls(t, f, name) {
			if entry.Event == "executed" {
				executed[entry.Key]++
				byCall[entry.RequestID]++
			}
		}
	}
	var wrong []string
	for _, s := range sent.streams {
		if text := s.check(p, started); text != "" {
			wrong = append(wrong, text)
		}
	}
	for _, o := range sent.orders {
		if text := o.check(executed, byCall); text != "" {
			wrong = append(wrong, text)
		}
	}
	return wrong
}

// readCalls reads the log of a stand-in from its file, which outlives the
// process.
func readCalls(t *testing.T, f *fleet, name string) []control.Entry {
	file, err := os.Open(f.callLog(name))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var out []control.Entry
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var entry control.Entry
		// A process that is killed may leave its last line unfinished.
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			out = append(out, entry)
		}
	}
	return out
}
