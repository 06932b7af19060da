package intent

// beginResponse is the response to a beginRequest.
type beginResponse struct {
	Grant Grant `json:"grant"`
	// InProgress reports that another dispatch with the key is in progress; the
	// request may be repeated to continue waiting.
	InProgress bool `json:"inProgress,omitempty"`
	// Reused reports that the key is recorded with another request digest.
	Reused bool `json:"reused,omitempty"`
}
