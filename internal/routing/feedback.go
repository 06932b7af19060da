package routing

import "time"

// Feedback is what was seen of an attempt that has ended.
type Feedback struct {
	// Now is when the attempt ended.
	Now time.Time
	// OK says that the attempt was answered in full.
	OK bool
	// Failed says that the upstream failed the attempt: it answered with an error,
	// broke off or said nothing.
	Failed bool
	// FirstToken is the time from dispatch to the first token; 0 when none came.
	FirstToken time.Duration
	// FirstReported says that Tracker.FirstToken was called.
	FirstReported bool
	// PromptTokens and CachedTokens are as the engine reported them; both are 0
	// when it reported nothing.
	PromptTokens int
	CachedTokens int
}
