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
type fakeDeclaredMoves struct{ isRunning bool }

// IsRunning implements declaredMoves.
func (m *fakeDeclaredMoves) IsRunning(service string) bool { return m.isRunning && service == "s" }

// Guards against orders by the number of upstreams before the state of a declared move is
// known, which remove those that start for the move.
func TestNothingIsOrderedWhileMovesAreUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	moves := &fakeDeclaredMoves{}
	follower := &versionmove.Follower{
		Store: objecttest.New(), ReadsStore: func() bool { return false }, Now: func() time.Time { return now }, Logger: telemetry.Discard(),
		Upstreams: func() []membership.Instance {
			return []membership.Instance{{Pool: "s", Version: "v1", State: membership.StateLive}}
		},
	}
	r := &moveRoles{moves: moves, follower: follower}
	assert.Assert(t, !r.isUnknown("s"))
	moves.isRunning = true
	assert.Assert(t, r.isUnknown("s") && !r.isUnknown("other"), "the state of the declared move is not known")
	running := versionmove.State{Service: "s", From: "v1", To: "v2", Phase: versionmove.PhaseRunning}
	follower.ApplyWritten("s", versionmove.RevisionedState{State: running, Revision: 1})
	assert.Assert(t, !r.isUnknown("s"))
	assert.Equal(t, r.move("s").Next, "v2")
	moves.isRunning = false
	assert.Equal(t, r.move("s").Serving, "")
}
