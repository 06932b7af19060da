package intent

// beginAnswer is the answer to a beginRequest.
type beginAnswer struct {
	Grant Grant `json:"grant"`
	// InProgress says that another dispatch with the key is in progress and
	// that the request may be repeated to wait further.
	InProgress bool `json:"inProgress,omitempty"`
	Reused     bool `json:"reused,omitempty"`
}
