package intent

// requester is the Log that asked for an intent. A restarted daemon has a new
// Log identifier.
type requester struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"`
	Log     string `json:"log"`
}
