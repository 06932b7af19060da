package intent

// Execution describes whether a recorded call was executed.
type Execution string

// The recorded executions of a call.
const (
	// ExecutionDone means that the upstream responded to the call.
	ExecutionDone Execution = "done"
	// ExecutionNotRun means that no upstream ran the call. Its key may be granted
	// again.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown means that the call may have run, but its response is not
	// known.
	ExecutionUnknown Execution = "unknown"
)

// Outcome is the recorded outcome of a call.
type Outcome struct {
	Execution Execution `json:"ran"`
	// Status, ContentType and Body are the upstream's response when Execution is
	// ExecutionDone. A body above the configured limit is not stored, and Truncated
	// is set.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
	// MaybeIncomplete reports whether only the end of the connection marked the end of
	// Body, which does not show whether it is complete.
	MaybeIncomplete bool `json:"maybeIncomplete,omitempty"`
}
