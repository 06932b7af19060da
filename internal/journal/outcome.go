package journal

// Outcome is the result of a finished request. It is empty until the request
// finishes.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the record has the whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request ended without its whole answer and that
	// an upstream may have run it.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that no upstream ran the request. It may be sent again
	// under its identifier.
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)
