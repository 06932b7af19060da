package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against undoing the move of a good version because of what a daemon
// measures after its process was suspended, and against a stall that suppresses
// evidence for long.
func TestStallCoversBacklog(t *testing.T) {
	start := time.Now()
	s := &stallDetector{}
	s.tick(start)
	s.tick(start.Add(stallTick))
	assert.Assert(t, !s.covers(start, start.Add(2*stallTick)))

	// No tick has detected the stall yet.
	resumed := start.Add(10 * time.Second)
	assert.Assert(t, s.covers(start, resumed), "an attempt that started before the stall")
	assert.Assert(t, s.covers(resumed, resumed), "an attempt of the backlog after the stall")
	s.tick(resumed)
	later := resumed.Add(stallSettle + time.Second)
	for at := resumed; at.Before(later); at = at.Add(stallTick) {
		s.tick(at)
	}
	assert.Assert(t, !s.covers(later, later))
}
