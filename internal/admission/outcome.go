package admission

import "time"

// Outcome is what was seen of an admitted attempt.
type Outcome struct {
	// OK says that the attempt was answered in full. Latencies of other
	// attempts are not used.
	OK bool
	// First is the time from dispatch to the first token, or to the whole
	// answer of a service.
	First time.Duration
	// FirstReported says that Controller.FirstToken was called with First.
	FirstReported bool
	// Gap is the mean time between two tokens.
	Gap time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}
