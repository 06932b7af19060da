package versionmove

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rattantide/internal/dispatch"
)

// evidence returns Evidence in which 6.5% of the old version's attempts failed and its
// mean time to the first answer is 80 ms.
func evidence(newTally Tally) Evidence {
	return Evidence{
		Results: Results{Old: Tally{Answers: 1000, Failures: 70, FirstMs: 80_000}, New: newTally},
		Limits:  ExposureLimits{Share: testShare, Slack: testSlack}, Within: 14 * time.Second, Left: 5 * time.Second, Ready: true,
	}
}

// Guards against a good version that does not get all traffic in time, and against a
// version that gets more than the canary share before it has been shown to work.
func TestGoodVersionGetsAllTraffic(t *testing.T) {
	s := State{Service: "s", From: "v1", To: "v2", Phase: PhaseRunning}
	waiting := Evidence{Limits: ExposureLimits{Share: testShare, Slack: testSlack}, Within: 14 * time.Second, Left: 14 * time.Second}
	s = Decide(s, waiting)
	assert.Equal(t, s.Share, 0.0, "no live upstream of the new version exists")
	waiting.Ready = true
	s = Decide(s, waiting)
	assert.Assert(t, s.Share > 0 && s.Share < testShare)
	good := Tally{Answers: 200, Failures: 14, FirstMs: 18_000}
	for _, left := range []time.Duration{12 * time.Second, 5 * time.Second, maxSwitchLead} {
		early := evidence(good)
		early.Left = left
		assert.Assert(t, is.DeepEqual(Decide(s, early), s), "some versions turn bad only later")
	}
	late := evidence(good)
	late.Left = minSwitchLead
	done := Decide(s, late)
	assert.Equal(t, done.Phase, PhaseDone)
	assert.Equal(t, done.Share, 1.0)
	assert.Assert(t, is.DeepEqual(Decide(done, evidence(Tally{Failures: 100})), done), "an ended move must not change")
	late.New = Tally{Answers: 5}
	assert.Assert(t, is.DeepEqual(Decide(s, late), s), "five answers are too few for a decision")
	late.New, late.Left = Tally{Answers: 40, FirstMs: 4000}, -time.Second
	assert.Equal(t, Decide(s, late).Phase, PhaseDone, "a new holder must decide the move after the deadline")
}

// Guards against a bad version that continues to get traffic: one that fails, one
// that is slow, and one with too few answers by the deadline.
func TestBadVersionIsUndone(t *testing.T) {
	running := State{Phase: PhaseRunning, Share: 0.044}
	tooFew := evidence(Tally{Answers: 10})
	tooFew.Left = 0
	for name, e := range map[string]Evidence{
		"failing":  evidence(Tally{Answers: 20, Failures: 8, FirstMs: 1600}),
		"slow":     evidence(Tally{Answers: 50, FirstMs: 50 * 300}),
		"deadline": tooFew,
	} {
		s := Decide(running, e)
		assert.Equal(t, s.Phase, PhaseUndone, name)
		assert.Equal(t, s.Share, 0.0, name)
	}
	// A version that fails as often as the old one is not worse.
	e := evidence(Tally{Answers: 50, Failures: 10, FirstMs: 4000})
	e.Old = Tally{Answers: 500, Failures: 100, FirstMs: 40_000}
	assert.Equal(t, Decide(running, e).Phase, PhaseRunning)
}

// gapTally returns the tally of answers with these times between two events and 90 ms to
// the first one.
func gapTally(gapsMs ...float64) Tally {
	r := &Recorder{}
	for _, gap := range gapsMs {
		r.Observe(dispatch.Observation{
			Pool: "s", Version: "v", Outcome: dispatch.StatusOK, FirstToken: 90 * time.Millisecond,
			BetweenTokens: time.Duration(gap * float64(time.Millisecond)),
		})
	}
	return r.Tallies(nil)[Key("s", "v")]
}

// Guards against a version whose events are several times slower and that is found late,
// as the time to the first event is mostly that of the prompt and of the network, and
// against a sound version that is taken back for one slow upstream or a busy moment.
func TestVersionWithSlowEvents(t *testing.T) {
	repeat := func(count int, gapMs float64) []float64 { return slices.Repeat([]float64{gapMs}, count) }
	running := State{Phase: PhaseRunning, Share: 0.044}
	for name, c := range map[string]struct {
		gaps []float64
		want Phase
	}{
		"several times slower":      {repeat(16, 72), PhaseUndone},
		"too few answers":           {repeat(10, 72), PhaseRunning},
		"half as fast, idle":        {repeat(40, 40), PhaseUndone},
		"a third slower":            {repeat(40, 30), PhaseRunning},
		"as fast":                   {repeat(40, 20), PhaseRunning},
		"one upstream stands still": {append(repeat(37, 22), repeat(3, 2000)...), PhaseRunning},
		"events arrive together":    {append(repeat(30, 20), repeat(10, 0.01)...), PhaseRunning},
	} {
		e := evidence(gapTally(c.gaps...))
		e.Old = gapTally(append(repeat(90, 20), repeat(10, 60)...)...)
		assert.Equal(t, Decide(running, e).Phase, c.want, name)
	}
}

// Guards against a sound version that is taken back for a few failures or slow answers within
// a short time, as recent results are judged many times during a move, and against one that
// turned bad and is kept.
func TestRecentResults(t *testing.T) {
	sound := Tally{Answers: 900, Failures: 60, FirstMs: 80_000, FirstLogSum: 900 * math.Log(80)}
	for name, c := range map[string]struct {
		recent Tally
		want   Phase
	}{
		"as sound as before":        {Tally{Answers: 37, Failures: 3, FirstMs: 37 * 80, FirstLogSum: 37 * math.Log(80)}, PhaseRunning},
		"some failures by chance":   {Tally{Answers: 33, Failures: 7, FirstMs: 33 * 80, FirstLogSum: 33 * math.Log(80)}, PhaseRunning},
		"half of the answers fail":  {Tally{Answers: 12, Failures: 12, FirstMs: 12 * 80, FirstLogSum: 12 * math.Log(80)}, PhaseUndone},
		"all answers fail":          {Tally{Failures: 8}, PhaseUndone},
		"one very slow answer":      {Tally{Answers: 40, FirstMs: 39*80 + 9000, FirstLogSum: 39*math.Log(80) + math.Log(9000)}, PhaseRunning},
		"all are four times slower": {Tally{Answers: 40, FirstMs: 40 * 320, FirstLogSum: 40 * math.Log(320)}, PhaseUndone},
	} {
		e := evidence(sound)
		e.RecentOld, e.RecentNew = sound, c.recent
		assert.Equal(t, Decide(State{Phase: PhaseRunning, Share: 0.044}, e).Phase, c.want, name)
	}
}

// Guards against a version that is bad on one route only and is accepted, as few requests use
// that route, and against a sound one that is taken back for a few failures on one route.
func TestVersionThatIsBadOnOneRoute(t *testing.T) {
	sound := Tally{Answers: 300, Failures: 2, FirstMs: 300 * 80, FirstLogSum: 300 * math.Log(80)}
	for name, c := range map[string]struct {
		onRoute Tally
		want    Phase
	}{
		"most fail":     {Tally{Answers: 4, Failures: 7, FirstMs: 4 * 80, FirstLogSum: 4 * math.Log(80)}, PhaseUndone},
		"some fail":     {Tally{Answers: 40, Failures: 6, FirstMs: 40 * 80, FirstLogSum: 40 * math.Log(80)}, PhaseRunning},
		"all are slow":  {Tally{Answers: 30, FirstMs: 30 * 400, FirstLogSum: 30 * math.Log(400)}, PhaseUndone},
		"one very slow": {Tally{Answers: 30, FirstMs: 29*80 + 9000, FirstLogSum: 29*math.Log(80) + math.Log(9000)}, PhaseRunning},
	} {
		e := evidence(sound)
		e.Routes = map[string]Results{"main": {Old: sound, New: sound}, "rare": {Old: sound, New: c.onRoute}}
		assert.Equal(t, Decide(State{Phase: PhaseRunning, Share: 0.044}, e).Phase, c.want, name)
	}
}

// Guards against a version of a service with few requests that can never be accepted, and
// against one that is accepted although many of its few answers fail.
func TestFewAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		tally Tally
		want  Phase
	}{
		"sound":     {Tally{Answers: fewAnswers, FirstMs: fewAnswers * 80}, PhaseDone},
		"some fail": {Tally{Answers: fewAnswers, Failures: 5, FirstMs: fewAnswers * 80}, PhaseRunning},
		"too few":   {Tally{Answers: fewAnswers - 1, FirstMs: fewAnswers * 80}, PhaseRunning},
	} {
		e := evidence(c.tally)
		e.Left = minSwitchLead
		assert.Equal(t, Decide(State{Phase: PhaseRunning, Share: 0.25}, e).Phase, c.want, name)
	}
}
