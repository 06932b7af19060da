package admission

import "time"

// Outcome is the measured result of an admitted attempt.
type Outcome struct {
	// OK reports whether the attempt was answered completely. The latencies of
	// other attempts are ignored.
	OK bool
	// FirstLatency is the time from dispatch to the first token, or to the whole
	// answer of a service.
	FirstLatency time.Duration
	// FirstReported reports whether Controller.RecordFirstToken was called
	// with FirstLatency.
	FirstReported bool
	// MeanGap is the mean time between two tokens.
	MeanGap time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}
