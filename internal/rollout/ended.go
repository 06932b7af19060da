package rollout

import (
	"time"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
)

// Ended tells whether a move has ended as far as a daemon can know at now, in
// the store's time. A committed end stands. Past the deadline, a move without
// one is undone; every daemon comes to the same result without asking anyone.
func Ended(m *configsync.Move, now time.Time) (api.MovePhase, bool) {
	if m.Ended() {
		return m.Status.Phase, true
	}
	if m.Status != nil && m.Status.ByMs > 0 && now.UnixMilli() >= m.Status.ByMs {
		return api.MoveUndone, true
	}
	return api.MoveRunning, false
}
