package journal

// Outcome is the result of a finished request. It is empty until the request
// finishes.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)
