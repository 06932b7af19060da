package objectapi

// Faults are the injected faults of an API.
type Faults struct {
	// Outage makes every call fail with status 503 and ends the watches.
	Outage bool `json:"outage"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseAnswers is the number of further writes that take effect although the
	// connection is closed without a response. Each such write decrements it.
	// LoseKind, if not empty, limits it to one kind.
	LoseAnswers int    `json:"loseAnswers"`
	LoseKind    string `json:"loseKind"`
	// LateWrites is the number of further writes whose connection is closed without
	// a response and which are applied LateMs later, if their precondition still
	// holds then. Each such write decrements it. LoseKind limits it too.
	LateWrites int   `json:"lateWrites"`
	LateMs     int64 `json:"lateMs"`
	// StaleBehind is the number of revisions by which GET and list calls are
	// behind the current state.
	StaleBehind int64 `json:"staleBehind"`
	// WritesPerSecond and ReadsPerSecond replace the configured rate limits
	// when they are not 0.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
}

// takeWriteFault reports whether the next write of a kind gets no response, and
// whether it is also applied late. It decrements the count that it uses.
func (f *Faults) takeWriteFault(kind string) (loseAnswer, isLate bool) {
	if f.LoseKind != "" && f.LoseKind != kind {
		return false, false
	}
	if f.LateWrites > 0 {
		f.LateWrites--
		return true, true
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		return true, false
	}
	return false, false
}
