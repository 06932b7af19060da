package problem

// Ran states whether a request was executed.
type Ran string

const (
	// RanDone means that the request was executed.
	RanDone Ran = "done"
	// RanNotRun means that the request was not executed: no byte of it reached an
	// upstream, or the upstream reported that it did not execute it.
	RanNotRun Ran = "not_run"
	// RanUnknown means that the request may or may not have been executed.
	RanUnknown Ran = "unknown"
)
