package versionmove

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
)

// The bounds of operators on the requests to a bad version.
const (
	testShare = 0.1
	testSlack = 50
)

// simulatedService is a service whose requests follow the share that its Follower knows.
type simulatedService struct {
	follower *Follower
	ledger   *Ledger
	rate     float64
	// badAfter is when half of the new version's answers begin to fail.
	badAfter time.Duration
	start    time.Time

	total, exposed float64
	// failures counts the failed requests, canaryFailures those before the new version got
	// all requests.
	failures, canaryFailures float64
}

const simulationStep = 50 * time.Millisecond

// step sends the requests of one step and reports them.
func (s *simulatedService) step() {
	count := s.rate * simulationStep.Seconds()
	share := s.follower.States()["s"].Share
	s.total += count
	s.exposed += share * count
	if time.Since(s.start) >= s.badAfter {
		s.failures += share * count / 2
		if share < 1 {
			s.canaryFailures = s.failures
		}
	}
	answers := s.exposed - s.failures
	s.ledger.Set("d/p", map[string]Tally{
		Key("s", "v1"): {Started: int64(s.total - s.exposed), Answers: int64(s.total - s.exposed), FirstMs: int64(50 * (s.total - s.exposed))},
		Key("s", "v2"): {Started: int64(s.exposed), Answers: int64(answers), Failures: int64(s.failures), FirstMs: int64(50 * answers)},
	})
}

// playMove plays a move of a service until its deadline and returns the service and the
// phase that was reported by then.
func playMove(t *testing.T, rate float64, within, badAfter time.Duration) (*simulatedService, Phase) {
	store, ledger := objecttest.New(), NewLedger()
	declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: within}}}
	follower := newReadingFollower(store, upstreams)
	c := newHolderController(store, ledger, declarations)
	c.opts.OnChange = follower.ApplyWritten
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := &simulatedService{follower: follower, ledger: ledger, rate: rate, badAfter: badAfter, start: time.Now()}
	go func() { _ = c.Run(ctx) }()
	go func() { _ = follower.Run(ctx) }()
	for time.Since(s.start) < within {
		time.Sleep(simulationStep)
		s.step()
	}
	synctest.Wait()
	if len(declarations.reported) == 0 {
		return s, ""
	}
	return s, declarations.reported[len(declarations.reported)-1]
}

// Guards against a version that turns bad at any time until the deadline of its move and has
// got more requests by then than operators allow, and against one that is not taken back
// although its failures were enough to notice.
func TestVersionThatTurnsBadLaterStaysWithinLimits(t *testing.T) {
	const noticeFailures = 2 * minFailures
	for _, rate := range []float64{20, 60, 200, 1000} {
		for _, within := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, time.Minute} {
			for _, badAt := range []float64{0, 0.3, 0.5, 0.8, 0.9, 0.95, 0.99} {
				t.Run(fmt.Sprintf("%g_%s_%g", rate, within, badAt), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						badAfter := time.Duration(badAt * float64(within))
						s, phase := playMove(t, rate, within, badAfter)
						allowed := testShare*s.total + testSlack
						assert.Assert(t, s.exposed <= allowed, "%.0f of %.0f requests reached the new version, %.0f are allowed", s.exposed, s.total, allowed)
						if s.canaryFailures > noticeFailures {
							assert.Equal(t, phase, PhaseUndone)
						}
					})
				})
			}
		}
	}
}

// Guards against a sound version that is not accepted by the deadline because it is held
// back for too long.
func TestSoundVersionIsAcceptedByDeadline(t *testing.T) {
	for _, rate := range []float64{20, 60, 200, 1000} {
		for _, within := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%g_%s", rate, within), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					_, phase := playMove(t, rate, within, 2*within)
					assert.Equal(t, phase, PhaseDone)
				})
			})
		}
	}
}

// Guards against old upstreams that are stopped while daemons still send requests to them, as
// the end of the move is reported as soon as it is decided.
func TestSwitchIsReportedAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		declarations := &fakeDeclarations{moves: []Declaration{{Name: "s", Service: "s", To: "v2", Within: 14 * time.Second}}, reports: make(chan Phase, 1000)}
		c := newHolderController(objecttest.New(), NewLedger(), declarations)
		c.opts.Ledger.Set("d/p", map[string]Tally{Key("s", "v1"): {Started: 400, Answers: 400}})
		var switchedAt time.Time
		c.opts.OnChange = func(_ string, s RevisionedState) {
			if s.State.Phase == PhaseDone {
				switchedAt = time.Now()
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		start := time.Now()
		go func() { _ = c.Run(ctx) }()
		time.Sleep(10 * time.Second)
		c.opts.Ledger.Set("d/p", map[string]Tally{Key("s", "v1"): {Started: 800, Answers: 800}, Key("s", "v2"): {Started: 40, Answers: 40}})
		for phase := range declarations.reports {
			if phase == PhaseDone {
				break
			}
		}
		assert.Assert(t, time.Since(switchedAt) >= handoverTime, "%s after the switch", time.Since(switchedAt))
		assert.Assert(t, time.Since(start) < 14*time.Second)
	})
}

// Guards against a plan that uses a slack although the rate of the traffic is not known, and
// against one that gives a version all traffic long before the deadline.
func TestPlanCanary(t *testing.T) {
	limits := ExposureLimits{Share: testShare, Slack: testSlack}
	for name, c := range map[string]struct {
		e        Evidence
		maxShare float64
		maxLead  time.Duration
	}{
		"rate unknown":            {Evidence{Limits: limits, Within: 16 * time.Second, Left: 16 * time.Second}, 0.05, time.Second},
		"no limits":               {Evidence{Within: 16 * time.Second, Left: 16 * time.Second}, minCanaryShare, minSwitchLead},
		"high rate":               {Evidence{Limits: limits, Within: 16 * time.Second, Left: 16 * time.Second, Traffic: Traffic{IsRateKnown: true, PerSecond: 1e6}}, 0.05, time.Second},
		"low rate":                {Evidence{Limits: limits, Within: 16 * time.Second, Left: 16 * time.Second, Traffic: Traffic{IsRateKnown: true, PerSecond: 2}}, maxCanaryShare, maxSwitchLead},
		"no traffic":              {Evidence{Limits: limits, Within: 16 * time.Second, Left: 16 * time.Second, Traffic: Traffic{IsRateKnown: true}}, maxCanaryShare, maxSwitchLead},
		"much was spent":          {Evidence{Limits: limits, Within: 16 * time.Second, Left: 8 * time.Second, Traffic: Traffic{IsRateKnown: true, PerSecond: 200, Total: 1600, New: 300}}, minCanaryShare, 300 * time.Millisecond},
		"rate rose after a quiet": {Evidence{Limits: limits, Within: 16 * time.Second, Left: 2 * time.Second, Traffic: Traffic{IsRateKnown: true, PerSecond: 1000, Total: 700, New: 30}}, 0.08, 300 * time.Millisecond},
	} {
		plan := planCanary(0, c.e)
		assert.Assert(t, plan.share >= minCanaryShare && plan.share <= c.maxShare, "%s: share %g", name, plan.share)
		assert.Assert(t, plan.switchLead >= minSwitchLead && plan.switchLead <= c.maxLead, "%s: lead %s", name, plan.switchLead)
	}
}

// Guards against routes that get no sample of their own, and against shares of routes that are
// more than the planned share together.
func TestRouteShares(t *testing.T) {
	const share = 0.044
	started := map[string]int64{"commit": 720, "lookup": 230, "pots": 50, "unused": 0}
	shares := routeShares(share, started)
	assert.Assert(t, shares["pots"] > 3*share && shares["pots"] <= maxRouteShare, "%v", shares)
	assert.Assert(t, shares["commit"] > share/2, "%v", shares)
	sum := 0.0
	for route, s := range shares {
		sum += s * float64(started[route]) / 1000
	}
	assert.Assert(t, sum <= share*1.001, "%g", sum)
	assert.Equal(t, len(shares), 3)
	assert.Equal(t, len(routeShares(share, map[string]int64{"only": 5})), 0)
	assert.Equal(t, routeShares(share, map[string]int64{"a": 1000, "b": 1})["b"], maxRouteShare)
}
