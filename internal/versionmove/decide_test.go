package versionmove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func evidence(newTally Tally) Evidence {
	return Evidence{
		Old: Tally{Answers: 1000, Failures: 70, FirstMs: 80_000}, New: newTally,
		Elapsed: 8 * time.Second, Within: 14 * time.Second, Left: 5 * time.Second, Ready: true,
	}
}

// Guards against a good version that does not get all traffic in time, and
// against one that gets more than a small part before it was seen to work.
func TestGoodVersionIsMovedTo(t *testing.T) {
	s := State{Service: "s", From: "v1", To: "v2", Phase: Running}
	waiting := Evidence{Within: 14 * time.Second, Left: 14 * time.Second}
	s = Decide(s, waiting)
	assert.Equal(t, s.Share, 0.0, "no upstream of the new version serves")
	waiting.Ready = true
	s = Decide(s, waiting)
	assert.Equal(t, s.Share, canaryShare)
	good := Tally{Answers: 200, Failures: 14, FirstMs: 18_000}
	early := evidence(good)
	early.Elapsed = 2 * time.Second
	assert.Equal(t, Decide(s, early), s, "some versions are bad only later")
	assert.Equal(t, Decide(s, evidence(Tally{Answers: 5})), s, "five answers say little")
	done := Decide(s, evidence(good))
	assert.Equal(t, done.Phase, Done)
	assert.Equal(t, done.Share, 1.0)
	assert.Equal(t, Decide(done, evidence(Tally{Failures: 100})), done, "an ended move stays as it is")
	late := evidence(Tally{Answers: 40, FirstMs: 4000})
	late.Elapsed, late.Left = time.Second, 0
	assert.Equal(t, Decide(s, late).Phase, Done, "a new holder decides by the deadline")
}

// Guards against a bad version that goes on to get traffic: one that fails, one
// that is slow, and one that has not shown anything by the deadline.
func TestBadVersionIsTakenBack(t *testing.T) {
	running := State{Phase: Running, Share: canaryShare}
	silent := evidence(Tally{Answers: 10})
	silent.Left = 0
	for name, e := range map[string]Evidence{
		"failing":  evidence(Tally{Answers: 20, Failures: 8, FirstMs: 1600}),
		"slow":     evidence(Tally{Answers: 50, FirstMs: 50 * 300}),
		"deadline": silent,
	} {
		s := Decide(running, e)
		assert.Equal(t, s.Phase, Undone, name)
		assert.Equal(t, s.Share, 0.0, name)
	}
	// The old version fails as often.
	e := evidence(Tally{Answers: 50, Failures: 10, FirstMs: 4000})
	e.Old = Tally{Answers: 500, Failures: 100, FirstMs: 40_000}
	assert.Equal(t, Decide(running, e).Phase, Running)
}
