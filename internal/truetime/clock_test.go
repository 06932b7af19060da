package truetime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against usage that is counted in the wrong window after the wall clock of this
// instance or of a minority of the other instances jumped.
func TestClockJumpsDoNotAffectEstimate(t *testing.T) {
	steady := time.Unix(500, 0)
	trueTime := func() time.Time { return steady.Add(1e9 * time.Second) }
	jump := 3 * time.Second
	c := New(func() time.Time { return steady }, func() time.Time { return trueTime().Add(jump) })
	for range 20 {
		steady = steady.Add(time.Second)
		for i, name := range []string{"a", "b", "c", "d", "e"} {
			wall := trueTime()
			if i == 0 {
				wall = wall.Add(-5 * time.Second)
			}
			c.Observe(name, wall, steady)
		}
	}
	assert.Equal(t, c.Now(), trueTime())
	jump = 0
	steady = steady.Add(time.Minute)
	assert.Equal(t, c.Now(), trueTime(), "the estimate must advance without new samples")
}
