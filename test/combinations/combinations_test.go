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
	// maxParallelSeeds limits the number of processes that run at a time to about 50.
	maxParallelSeeds = 4
	// trafficTimeout bounds the traffic of one seed. It exceeds the 60 s deadline of
	// the chat class.
	trafficTimeout = 75 * time.Second
)

// fixedSeeds run by default. Together they inject every fault of the list faults.
var fixedSeeds = []int64{2, 5, 13, 14, 15, 19, 21, 31, 34, 36, 39, 40}

// Guards against a fault that no fixed seed injects, so that a failure caused by it
// is found only by a longer run over other seeds.
func TestFixedSeedsCoverEveryFault(t *testing.T) {
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

// Guards against lost or wrong answers, duplicate executions and wrong error reports
// when two failures coincide. Seeds that KNOWN-RED.txt lists as
// "TestCombinations/seed=N" are skipped unless RUN_KNOWN_RED is set.
func TestCombinations(t *testing.T) {
	seeds := slices.Clone(fixedSeeds)
	for n := range *extraSeeds {
		seeds = append(seeds, *firstExtraSeed+int64(n))
	}
	if *singleSeed != 0 {
		seeds = []int64{*singleSeed}
	}
	knownRed, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if !os.IsNotExist(err) {
		assert.NilError(t, err)
	}
	slots := make(chan struct{}, maxParallelSeeds)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			if slices.Contains(strings.Fields(string(knownRed)), t.Name()) && os.Getenv("RUN_KNOWN_RED") == "" {
				t.Skip(newPlan(seed), "is listed in KNOWN-RED.txt")
			}
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, newPlan(seed))
		})
	}
}

// runSeed starts a fleet, sends traffic while it injects the faults of the plan, and
// reports every violation.
func runSeed(t *testing.T, p *plan) {
	ctx, cancel := context.WithTimeout(t.Context(), trafficTimeout+readyTimeout)
	defer cancel()
	dir := t.TempDir()
	if *logDir != "" {
		var err error
		dir, err = os.MkdirTemp(*logDir, fmt.Sprintf("seed-%d-", p.seed))
		assert.NilError(t, err)
	}
	f, err := newFleet(ctx, t, dir)
	assert.NilError(t, err)
	requests, trafficDone := newTraffic(p.seed), make(chan struct{})
	start := time.Now()
	var group errgroup.Group
	group.Go(func() error {
		defer close(trafficDone)
		return requests.run(ctx, f.daemonAddresses())
	})
	for _, i := range p.injections {
		group.Go(func() error { return i.run(ctx, f, &requests.progress, trafficDone) })
	}
	err = group.Wait()
	t.Logf("%s: callers received %d tokens and finished %d orders in %s", p, requests.progress.tokens.Load(), requests.progress.orders.Load(), time.Since(start).Round(time.Millisecond))
	assert.NilError(t, err, p)
	found := violations(t, f, p, requests)
	if len(found) > 0 {
		for _, name := range daemonNames {
			t.Logf("%s: %s", name, f.process(name).LogTail())
		}
		t.Errorf("%s\n%s\nrepeat with: go test ./test/combinations -run TestCombinations -seed %d", p, strings.Join(found, "\n"), p.seed)
	}
}

// violations compares the answers that callers received with the call logs of the
// stand-ins, and describes every contradiction.
func violations(t *testing.T, f *fleet, p *plan, requests *traffic) []string {
	starts, executedByKey, executedByCall := map[string]int{}, map[string]int{}, map[string]int{}
	for _, name := range engineNames {
		for _, entry := range readCallLog(t, f, name) {
			if entry.Event == "start" || entry.Event == "import" {
				starts[entry.RequestID]++
			}
		}
	}
	for _, name := range serviceNames {
		for _, entry := range readCallLog(t, f, name) {
			if entry.Event == "executed" {
				executedByKey[entry.Key]++
				executedByCall[entry.RequestID]++
			}
		}
	}
	var found []string
	for _, s := range requests.streams {
		if text := s.violation(p, starts); text != "" {
			found = append(found, text)
		}
	}
	for _, o := range requests.orders {
		if text := o.violation(executedByKey, executedByCall); text != "" {
			found = append(found, text)
		}
	}
	return found
}

// readCallLog returns the entries of a stand-in's call log. It reads the file instead of
// asking the process, because the process may have been killed.
func readCallLog(t *testing.T, f *fleet, name string) []control.Entry {
	file, err := os.Open(f.callLogPath(name))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var out []control.Entry
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var entry control.Entry
		// The last line may be incomplete if the process was killed.
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			out = append(out, entry)
		}
	}
	return out
}
