package problem

// Ran says whether a request was executed by an upstream.
type Ran string

const (
	// RanDone means that the request was executed.
	RanDone Ran = "done"
	// RanNotRun means that no byte of the call reached an upstream, or that the
	// upstream itself said that it did not run the call.
	RanNotRun Ran = "not_run"
	// RanUnknown means that the request may or may not have been executed.
	RanUnknown Ran = "unknown"
)
