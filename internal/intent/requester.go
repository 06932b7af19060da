package intent

// requester identifies the Log that requested an intent. A restarted daemon has
// a new Log identifier.
type requester struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"`
	Log     string `json:"log"`
}
