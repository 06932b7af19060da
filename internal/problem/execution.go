package problem

// Execution states whether a request was executed.
type Execution string

const (
	// ExecutionDone means that the request was executed.
	ExecutionDone Execution = "done"
	// ExecutionNotRun means that the request was not executed: no byte of it
	// reached an upstream, or the upstream reported that it did not execute it.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown means that the request may or may not have been executed.
	ExecutionUnknown Execution = "unknown"
)
