package burn

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeOK means that the answer was complete.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed means that the request was accepted, but its answer was
	// incomplete or missing.
	OutcomeFailed Outcome = "failed"
	// OutcomeShed means that the request was refused because of overload.
	OutcomeShed Outcome = "shed"
)
