package intent

// knownResponse is the response to a knownRequest.
type knownResponse struct {
	Known bool `json:"known"`
}
