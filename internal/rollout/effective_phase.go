package rollout

import (
	"time"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
)

// EffectivePhase returns the phase of a move at now, in the store's time, and
// whether the move has ended. A recorded end is final. A move that has no recorded
// end by its deadline is undone; every daemon comes to this result without any
// communication.
func EffectivePhase(m *configsync.Move, now time.Time) (api.MovePhase, bool) {
	if m.Ended() {
		return m.Status.Phase, true
	}
	if m.Status != nil && m.Status.DeadlineMs > 0 && now.UnixMilli() >= m.Status.DeadlineMs {
		return api.MoveUndone, true
	}
	return api.MoveRunning, false
}
