package routing

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a level at which the room is not the number of requests: one that is too high
// sends requests to overloaded upstreams, one that is too low sends them all to the best one.
func TestRoomLevel(t *testing.T) {
	source := bitSource(1)
	for range 500 {
		count := 1 + source.intn(140)
		scores, slopes := make([]float64, count), make([]float64, count)
		best, slopeSum := math.Inf(1), 0.0
		for i := range scores {
			// Some candidates are overloaded by orders of magnitude.
			scores[i] = 0.001 * math.Pow(1.5, float64(source.intn(30)))
			slopes[i] = 1 + float64(source.intn(400))
			best = min(best, scores[i])
			slopeSum += slopes[i]
		}
		requests := 1 + float64(source.intn(500))
		level, room := roomLevel(scores, slopes, best, slopeSum, requests), 0.0
		for i := range scores {
			room += max(0, level-scores[i]) * slopes[i]
		}
		assert.Assert(t, math.Abs(room-requests) < 0.001*requests, "%d candidates: room %g for %g requests", count, room, requests)
	}
}
