package fleetdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
	"rattantide/internal/versionmove"
)

// fakeDeclaredMoves implements declaredMoves for the service "s".
type fakeDeclaredMoves struct{ isKnown, isRunning bool }

// IsKnown implements declaredMoves.
func (m *fakeDeclaredMoves) IsKnown() bool { return m.isKnown }

// IsRunning implements declaredMoves.
func (m *fakeDeclaredMoves) IsRunning(service string) bool { return m.isRunning && service == "s" }

// Guards against a new holder of the duties that orders by the number of upstreams before it
// knows the moves, which removes those that start for a move, and against one that orders
// nothing for as long as the store does not answer.
func TestNothingIsOrderedWhileMovesAreUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	moves := &fakeDeclaredMoves{}
	follower := &versionmove.Follower{
		Store: objecttest.New(), ReadsStore: func() bool { return false }, Now: func() time.Time { return now }, Logger: telemetry.Discard(),
		Upstreams: func() []membership.Instance {
			return []membership.Instance{{Pool: "s", Version: "v1", State: membership.StateLive}}
		},
	}
	r := &moveRoles{moves: moves, follower: follower, now: func() time.Time { return now }}
	assert.Assert(t, r.isUnknown("s"))
	now = now.Add(maxUnknownTime)
	assert.Assert(t, !r.isUnknown("s"))
	now = now.Add(maxQueryGap + time.Second)
	assert.Assert(t, r.isUnknown("s"), "the duties were lost meanwhile")

	moves.isKnown, moves.isRunning = true, true
	assert.Assert(t, r.isUnknown("s") && !r.isUnknown("other"), "the state of the declared move is not known")
	running := versionmove.State{Service: "s", From: "v1", To: "v2", Phase: versionmove.PhaseRunning}
	follower.ApplyWritten("s", versionmove.RevisionedState{State: running, Revision: 1})
	assert.Assert(t, !r.isUnknown("s"))
	assert.Equal(t, r.move("s").Next, "v2")
	moves.isRunning = false
	assert.Equal(t, r.move("s").Serving, "")

	moves.isKnown = false
	assert.Assert(t, r.isUnknown("s"), "the duties were lost and acquired again")
}
