package burn

// Outcome tells how a request ended.
type Outcome string

// The ways in which a request ends.
const (
	// OutcomeOK is a request that was answered in full.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed is an accepted request that was not answered in full.
	OutcomeFailed Outcome = "failed"
	// OutcomeShed is a request that was refused because of load.
	OutcomeShed Outcome = "shed"
)
