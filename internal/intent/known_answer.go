package intent

// knownAnswer is the response to a knownRequest.
type knownAnswer struct {
	Known bool `json:"known"`
}
