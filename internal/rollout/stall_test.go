package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a good version that is taken back for what a daemon measures
// after its process was paused, and against a stall that hides evidence for long.
func TestStallCoversWhatPiledUp(t *testing.T) {
	start := time.Now()
	s := &stall{}
	s.tick(start)
	s.tick(start.Add(stallTick))
	assert.Assert(t, !s.covers(start, start.Add(2*stallTick)))

	// No tick has noticed the stall yet.
	woken := start.Add(10 * time.Second)
	assert.Assert(t, s.covers(start, woken), "an attempt from before the stall")
	assert.Assert(t, s.covers(woken, woken), "an attempt of the burst after it")
	s.tick(woken)
	later := woken.Add(stallSettle + time.Second)
	for at := woken; at.Before(later); at = at.Add(stallTick) {
		s.tick(at)
	}
	assert.Assert(t, !s.covers(later, later))
}
