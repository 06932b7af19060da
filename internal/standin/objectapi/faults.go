package objectapi

// Faults are the switchable faults of an API.
type Faults struct {
	// Outage answers every call with 503 and ends the watches.
	Outage bool `json:"outage"`
	// SlowMs delays every call.
	SlowMs int64 `json:"slowMs"`
	// LoseAnswers counts down: the next writes take effect, but the connection
	// is closed without an answer. LoseKind limits it to one kind.
	LoseAnswers int    `json:"loseAnswers"`
	LoseKind    string `json:"loseKind"`
	// LateWrites counts down: the connection of the next writes is closed
	// without an answer, and they are applied LateMs later, when their
	// precondition still holds. LoseKind limits it too.
	LateWrites int   `json:"lateWrites"`
	LateMs     int64 `json:"lateMs"`
	// StaleBehind serves GET and list calls as of that many revisions ago.
	StaleBehind int64 `json:"staleBehind"`
	// WritesPerSecond and ReadsPerSecond replace the configured rate limits
	// when they are not 0.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
}

// take reports whether the next write of a kind loses its answer, and whether
// it is applied late.
func (f *Faults) take(kind string) (lose, late bool) {
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
