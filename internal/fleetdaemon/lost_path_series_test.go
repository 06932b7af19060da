package fleetdaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/tcplink"
)

// lostPathSeed returns the seed of LOST_PATH_SEED, or 1.
func lostPathSeed(t *testing.T) uint64 {
	text := os.Getenv("LOST_PATH_SEED")
	if text == "" {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// Guards against requests that run twice, or run although they were refused, and against
// daemons that do not serve again, after paths to the upstreams were lost and came back in
// series at several daemons, one of which stopped meanwhile. LOST_PATH_SEED selects the order.
func TestPathsLostInSeries(t *testing.T) {
	const (
		daemons = 5
		// stopped is the daemon that stops after half of the rounds.
		stopped = daemons - 1
		rounds  = 14
		// recoveryTime is the time after the last fault in which all requests must be served
		// again.
		recoveryTime = 2 * time.Second
	)
	seed := lostPathSeed(t)
	random := rand.New(rand.NewPCG(seed, 0))
	paths := newUpstreamPaths(t)
	s := startPathDeployment(t, paths, daemons)
	c := s.newCallers()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx, 40*time.Millisecond)
	}()
	drained := make(chan struct{})
	for round := range rounds {
		daemon, fault := random.IntN(daemons), tcplink.PathFault(random.IntN(int(tcplink.PathFaults)))
		t.Logf("round %d: daemon %d, fault %d", round, daemon, fault)
		paths.Set(daemon, fault)
		if round == rounds/2 {
			c.Skip(daemons - stopped)
			go func() {
				defer close(drained)
				s.stopDaemon(stopped)
			}()
		}
		<-time.After(time.Duration(200+random.IntN(900)) * time.Millisecond)
	}
	for i := range daemons {
		paths.Set(i, tcplink.PathSound)
	}
	healedAt := time.Now()
	<-time.After(recoveryTime + time.Second)
	cancel()
	<-done
	<-drained
	checkExecutions(t, c, paths)
	served, total := c.Served(time.Time{}, time.Now(), func(int) bool { return true })
	t.Logf("seed %d: %d of %d first tries served, statuses %v", seed, served, total, c.Statuses())
	served, total = c.Served(healedAt.Add(recoveryTime), time.Now(), func(i int) bool { return i != stopped })
	assert.Check(t, total > 0 && served == total, "seed %d: %d of %d first tries served after the faults", seed, served, total)
	assert.Check(t, c.Statuses()[http.StatusUnprocessableEntity] == 0, "seed %d: sound requests were kept from upstreams", seed)
}
