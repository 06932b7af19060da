package routing

import "time"

// Feedback is the measured result of an ended attempt.
type Feedback struct {
	// Now is when the attempt ended.
	Now time.Time
	// OK reports whether the attempt was answered completely.
	OK bool
	// Failed reports whether the upstream failed the attempt: it answered with
	// an error, closed the connection early or made no progress.
	Failed bool
	// FirstToken is the time from dispatch to the first token; 0 when none was
	// received.
	FirstToken time.Duration
	// FirstReported reports whether Tracker.RecordFirstToken was called.
	FirstReported bool
	// PromptTokens and CachedTokens are as reported by the engine; both are 0
	// when it reported nothing.
	PromptTokens int
	CachedTokens int
}
