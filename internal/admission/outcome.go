package admission

import "time"

// Outcome is the measured result of an admitted attempt.
type Outcome struct {
	// OK reports whether the attempt was answered completely. The latencies of
	// other attempts are ignored.
	OK bool
	// First is the time from dispatch to the first token, or to the whole
	// answer of a service.
	First time.Duration
	// FirstReported reports whether Controller.FirstToken was called with
	// First.
	FirstReported bool
	// Gap is the mean time between two tokens.
	Gap time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}
