package journal

// Outcome is how a finished request ended. It is empty before the end.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)
