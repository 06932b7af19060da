package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
)

const (
	// defaultNodes daemons run as processes; SOAK_NODES sets another number.
	defaultNodes = 3
	clientCount  = 6
	faultCount   = 14
	// recoverWithin bounds the time from the end of the faults to service at every
	// daemon.
	recoverWithin = 15 * time.Second
	// readyWithin bounds the start of a deployment on a busy machine.
	readyWithin = 30 * time.Second
)

// ciSeeds are played by each run of the tests; SOAK_SEEDS="FROM-TO" plays others.
//
// Seed 30 hung a daemon: its quota keeper and its peers waited for each other's
// locks.
var ciSeeds = []uint64{1, 2, 30}

func seeds(t *testing.T) []uint64 {
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		return ciSeeds
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	assert.NilError(t, err)
	last, err := strconv.ParseUint(to, 10, 64)
	assert.NilError(t, err)
	var out []uint64
	for seed := first; seed <= last; seed++ {
		out = append(out, seed)
	}
	return out
}

func nodeCount(t *testing.T) int {
	text := os.Getenv("SOAK_NODES")
	if text == "" {
		return defaultNodes
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Guards against any promise to callers that is broken while daemons are killed,
// paused, stopped and reloaded, the store fails, runners misbehave, connections are
// slow, silent, cut one way or reset and a clock jumps, in an order that the seed
// decides.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, proc.Build(t.Context(), dir))
	for _, seed := range seeds(t) {
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, filepath.Join(dir, "rattantide-gateway"), seed) })
	}
}

func play(t *testing.T, program string, seed uint64) {
	f := startFleet(t, program, nodeCount(t))
	c := &clients{fleet: f}
	f.awaitService(c, "start", readyWithin)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range clientCount {
		running.Go(func() { c.run(ctx, "c"+strconv.Itoa(i), seed*100+uint64(i)) })
	}
	i := &injector{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), busy: map[*node]bool{}}
	environment := &environmentInjector{injector: i, random: rand.New(rand.NewPCG(seed, 2))}
	begun := time.Now()
	var takenAt time.Time
	for n := range faultCount {
		i.inject()
		environment.inject()
		if n == faultCount/3 {
			f.takeKey()
			takenAt = time.Now()
		}
		time.Sleep(i.between(200, 1100))
	}
	i.settle()
	f.awaitService(c, "recovery", recoverWithin)
	stop()
	running.Wait()
	found := append(findings(f, c.calls, takenAt), wrongWindows(f, begun, time.Now())...)
	for _, text := range found {
		t.Errorf("seed %d: %s", seed, text)
	}
	served := 0
	for _, made := range c.calls {
		if made.status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d calls, %d served; faults: %s", len(c.calls), served, strings.Join(i.log, ", "))
	if t.Failed() {
		f.keepLogs(seed)
	}
}

// awaitService waits until every daemon serves.
func (f *fleet) awaitService(c *clients, when string, limit time.Duration) {
	f.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for k, n := range f.nodes {
		for round := 0; ; round++ {
			made := c.send(f.t.Context(), client, n, when+"-"+strconv.Itoa(k)+"-"+strconv.Itoa(round), "lookup", keptKey)
			c.mu.Lock()
			c.calls = append(c.calls, made)
			c.mu.Unlock()
			if made.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				f.keepLogs(0)
				f.t.Fatalf("%s: %s answers %d after %s", when, n.name, made.status, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// keepLogs copies the daemons' logs to where they outlive the test.
func (f *fleet) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", "rattantide-soak-"+strconv.FormatUint(seed, 10)+"-")
	if err != nil {
		f.t.Logf("logs could not be kept: %v", err)
		return
	}
	for _, n := range f.nodes {
		text, err := os.ReadFile(n.current().LogPath)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, n.name+".log"), text, 0o600)
		}
		if err != nil {
			f.t.Logf("log of %s could not be kept: %v", n.name, err)
		}
	}
	f.t.Logf("logs are in %s", dir)
}
