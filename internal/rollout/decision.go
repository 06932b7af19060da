package rollout

import "rattantide/internal/api"

// Decision is the outcome of one evaluation of a move.
type Decision struct {
	Phase api.MovePhase
	// Share is the new version's share of traffic from now on.
	Share float64
	// Verdict is api.VerdictGood, api.VerdictBad, or empty while neither is
	// known.
	Verdict string
	// Reason explains the decision to the operator.
	Reason string
}
