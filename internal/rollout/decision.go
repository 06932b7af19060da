package rollout

import "rattantide/internal/api"

// Decision is what becomes of a move now.
type Decision struct {
	Phase api.MovePhase
	// Share is the share from now on.
	Share float64
	// Verdict is api.VerdictGood or api.VerdictBad once it is known.
	Verdict string
	// Reason tells the operator why, in plain words.
	Reason string
}
