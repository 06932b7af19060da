package peering

// Report is what a daemon says of itself.
type Report struct {
	Name string `json:"n"`
	// Process identifies the process; a restarted daemon has another one.
	Process string `json:"p"`
	IP      string `json:"ip"`
	Domain  string `json:"d"`
	// CallerAddress is where callers connect.
	CallerAddress string `json:"c"`
	// Ready says that the daemon serves callers.
	Ready bool `json:"r,omitempty"`
	// Leaving says that the daemon is about to stop.
	Leaving bool `json:"l,omitempty"`
	// ConfigVersion is the configuration in effect, and ConfigAgeMs how long ago
	// it was confirmed as the newest one, in milliseconds; -1 when not known.
	ConfigVersion int64 `json:"v"`
	ConfigAgeMs   int64 `json:"a"`
	// WallMs is the daemon's time of day.
	WallMs int64 `json:"w"`
	// Counts holds requests that began, by window and workspace.
	Counts map[int64]map[string]int64 `json:"u,omitempty"`
}

// message is a datagram. A question has no Answer.
type message struct {
	// Number pairs an answer with its question.
	Number uint64 `json:"q"`
	Answer bool   `json:"y,omitempty"`
	Report Report `json:"s"`
	// Others are addresses of daemons that the sender knows; they are sent to a
	// daemon that is not known yet.
	Others []string `json:"o,omitempty"`
	// Known is the number of daemons that the sender knows.
	Known int `json:"k,omitempty"`
}
