package routing

import "time"

// Feedback is what was seen of an attempt that has ended.
type Feedback struct {
	// OK says that the attempt was answered in full.
	OK bool
	// FirstToken is the time from dispatch to the first token; 0 when none came.
	FirstToken time.Duration
	// FirstReported says that Tracker.FirstToken was called.
	FirstReported bool
	// PromptTokens and CachedTokens are as the engine reported them; both are 0
	// when it reported nothing.
	PromptTokens int
	CachedTokens int
}
