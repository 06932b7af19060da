package intent

// knownAnswer is the answer to a knownRequest.
type knownAnswer struct {
	Known bool `json:"known"`
}
