package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
)

// fault changes the result of a request to the new version.
type fault func(r *simulatedRequest, sinceDeclared time.Duration)

type simulatedRequest struct {
	route  string
	load   float64
	work   int
	first  time.Duration
	failed bool
}

// simulation runs a move over several daemons with their Guards, the decisions of
// a controller and a simulated clock.
type simulation struct {
	seed     uint64
	daemons  int
	rate     float64 // requests per second over all daemons
	deadline time.Duration
	fault    fault
	// errors is the share of requests that fail with either version, without the
	// fault.
	errors float64
}

type simulationResult struct {
	phase    api.MovePhase
	reason   string
	took     time.Duration
	newCount int
	// afterVerdict counts the requests to the new version after the verdict of
	// the first Guard was imported by all others.
	afterVerdict int
}

func (s simulation) run() simulationResult {
	random := rand.New(rand.NewPCG(s.seed, 1))
	start := time.UnixMilli(1_000_000)
	now := start
	m := &configsync.Move{Name: "m", Spec: &api.VersionMove{Pool: "p", From: "v1", To: "v2", Deadline: api.Duration(s.deadline)},
		Status: &api.MoveStatus{Phase: api.MoveRunning, DeclaredMs: start.UnixMilli(), DeadlineMs: start.Add(s.deadline).UnixMilli(),
			Share: Stages[0], ShareSinceMs: start.UnixMilli()}}
	guards := make([]*Guard, s.daemons)
	for i := range guards {
		guards[i] = NewGuard(GuardOptions{
			Daemon: fmt.Sprint(i), StoreNow: func() (time.Time, bool) { return now, true }, Daemons: func() int { return s.daemons },
		})
	}
	collected := &collectedEvidence{}
	result := simulationResult{}
	tick := min(max(s.deadline/intervalDivisor, minInterval), maxInterval)
	nextTick := start.Add(tick)
	for id := 0; ; id++ {
		now = now.Add(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		for !now.Before(nextTick) {
			saved, since := now, int64(0)
			if collected.rows != nil {
				since = slot(m, nextTick) - 1
			}
			now, nextTick = nextTick, nextTick.Add(tick)
			for _, g := range guards {
				r := g.Report("m", start.UnixMilli(), since)
				collected.merge(&r)
			}
			d := Decide(StateOf(m), collected.evidence(), now)
			if collected.verdict != nil {
				d = undone(collected.verdict.Reason)
			}
			if d.Phase.HasEnded() {
				result.phase, result.reason, result.took = d.Phase, d.Reason, now.Sub(start)
				return result
			}
			if d.Share != m.Status.Share {
				status := *m.Status
				status.Share, status.ShareSinceMs = d.Share, now.UnixMilli()
				m = &configsync.Move{Name: "m", Spec: m.Spec, Status: &status}
			}
			now = saved
		}
		s.request(random, guards[random.IntN(s.daemons)], guards, m, id, now.Sub(start), &result)
	}
}

// runAll runs the simulation with the seeds 0 to n-1, 4 at a time.
func (s simulation) runAll(n int) []simulationResult {
	results := make([]simulationResult, n)
	var group errgroup.Group
	group.SetLimit(4)
	for i := range n {
		run := s
		run.seed = uint64(i)
		group.Go(func() error {
			results[i] = run.run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// slot returns the time slot of a move that contains at.
func slot(m *configsync.Move, at time.Time) int64 {
	state := StateOf(m)
	return max(0, state.slot(at))
}

// request sends one request through a Guard and distributes a verdict that it
// finds.
func (s simulation) request(random *rand.Rand, g *Guard, guards []*Guard, m *configsync.Move, id int, since time.Duration, result *simulationResult) {
	share := g.Share(m)
	version, versionShare := "v1", 1-share
	if dispatch.InShare("m", fmt.Sprint(id), share) {
		version, versionShare = "v2", share
		result.newCount++
	}
	r := &simulatedRequest{route: fmt.Sprintf("r%d", random.IntN(3)), work: 100 << random.IntN(6)}
	// Load varies with time and over upstreams, and grows with the square root
	// of the version's share.
	wave := 1 + math.Sin(since.Seconds()/s.deadline.Seconds()*20)
	r.load = 12 * wave * random.Float64() * math.Sqrt(versionShare)
	base := 0.05 + float64(r.work)/4000*(1+r.load/10)
	r.first = time.Duration(base * math.Exp(random.NormFloat64()*0.5) * float64(time.Second))
	r.failed = random.Float64() < s.errors
	if version == "v2" && s.fault != nil {
		s.fault(r, since)
	}
	hadVerdict := len(g.Verdicts()) > 0
	if version == "v2" && hadVerdict {
		result.afterVerdict++
	}
	g.Observe(dispatch.MoveSample{Move: m, Version: version, Route: r.route, Load: r.load, UncachedTokens: r.work,
		Failed: r.failed, Latency: r.first, Gap: r.first / 10})
	if found := g.Verdicts(); !hadVerdict && len(found) > 0 {
		for _, other := range guards {
			other.Import(found[0])
		}
	}
}

// Guards against good versions that are undone because of noise more often than
// the stated rate, and against a move that does not end in time.
func TestGoodVersionsAreDone(t *testing.T) {
	for _, c := range []struct {
		simulation
		// At a rate of 1%, the probability of more than allowed of runs is less
		// than 0.2%.
		runs, allowed int
	}{
		{simulation{daemons: 9, rate: 40, deadline: 2 * time.Minute, errors: 0.01}, 20, 2},
		{simulation{daemons: 3, rate: 2, deadline: 10 * time.Second}, 60, 4},
		{simulation{daemons: 3, rate: 5, deadline: 30 * time.Second, errors: 0.02}, 60, 4},
	} {
		s, bad := c.simulation, 0
		for seed, r := range s.runAll(c.runs) {
			assert.Assert(t, r.took < s.deadline, "took %s of %s", r.took, s.deadline)
			if r.phase != api.MoveDone {
				bad++
				t.Logf("deadline %s, seed %d: %s after %s", s.deadline, seed, r.reason, r.took)
			}
		}
		t.Logf("deadline %s, %g requests/s: %d of %d moves of good versions undone", s.deadline, s.rate, bad, c.runs)
		assert.Assert(t, bad <= c.allowed)
	}
}

// Guards against completing the move of a bad version: one that fails at once or
// later, is slow, fails or slows down only under load, or is bad on one route only.
func TestBadVersionsAreUndone(t *testing.T) {
	faults := map[string]fault{
		"at once": func(r *simulatedRequest, _ time.Duration) { r.failed = true },
		"half fails": func(r *simulatedRequest, _ time.Duration) {
			r.failed = r.failed || r.first.Nanoseconds()%2 == 0
		},
		"later": func(r *simulatedRequest, since time.Duration) { r.failed = r.failed || since > 40*time.Second },
		"slow":  func(r *simulatedRequest, _ time.Duration) { r.first *= 2 },
		"fails under load": func(r *simulatedRequest, _ time.Duration) {
			r.failed = r.failed || (r.load >= 12 && r.first.Nanoseconds()%3 == 0)
		},
		"slow under load": func(r *simulatedRequest, _ time.Duration) {
			if r.load >= 10 {
				r.first *= 3
			}
		},
		"one route": func(r *simulatedRequest, _ time.Duration) { r.failed = r.failed || r.route == "r1" },
	}
	for name, f := range faults {
		const runs = 8
		completed, exposed, afterVerdict := 0, 0, 0
		reason := ""
		for _, r := range (simulation{daemons: 9, rate: 40, deadline: 2 * time.Minute, errors: 0.01, fault: f}).runAll(runs) {
			if r.phase != api.MoveUndone {
				completed++
			}
			exposed += r.newCount
			afterVerdict += r.afterVerdict
			reason = r.reason
		}
		t.Logf("%s: %d of %d moves completed, %d requests per move to the new version; last reason: %s", name, completed, runs, exposed/runs, reason)
		assert.Equal(t, completed, 0, name)
		assert.Equal(t, afterVerdict, 0, name)
	}
}

// Guards against completing the move of a failing version because a short move
// with little traffic has no time for a significant result.
func TestShortMoveOfAFailingVersion(t *testing.T) {
	s := simulation{daemons: 3, rate: 2, deadline: 10 * time.Second,
		fault: func(r *simulatedRequest, _ time.Duration) { r.failed = true }}
	for seed, r := range s.runAll(40) {
		assert.Equal(t, r.phase, api.MoveUndone, "seed %d: %s", seed, r.reason)
		assert.Assert(t, r.took <= s.deadline+minInterval)
	}
}
