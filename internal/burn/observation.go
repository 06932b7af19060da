package burn

import "time"

// Observation describes one ended request. It contains no content of the request
// or of its answer.
type Observation struct {
	Class     string
	Workspace string
	// Version, Domain and Upstream are those of the last attempt; empty for a
	// request that was never dispatched.
	Version  string
	Domain   string
	Upstream string
	// FirstToken is the time from acceptance to the first token; 0 if there was
	// none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between consecutive tokens of the answer; 0
	// for fewer than two tokens.
	BetweenTokens time.Duration
	// Total is the time from acceptance to the end of the answer.
	Total   time.Duration
	Outcome Outcome
}
