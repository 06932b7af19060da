package intent

// Ran says what is known of a recorded call.
type Ran string

// What may be recorded of a call.
const (
	RanDone    Ran = "done"
	RanNotRun  Ran = "not_run"
	RanUnknown Ran = "unknown"
)

// Outcome is the recorded end of a call.
type Outcome struct {
	Ran Ran `json:"ran"`
	// Status, ContentType and Body are the upstream's answer when Ran is done.
	// A body above the configured limit is not kept and Truncated is set.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
}
