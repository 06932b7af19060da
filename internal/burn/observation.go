package burn

import "time"

// Observation describes one completed request. It contains no request or response
// content.
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
	// BetweenTokens is the mean time between consecutive tokens of the response; 0
	// for fewer than two tokens.
	BetweenTokens time.Duration
	// Total is the time from acceptance to the end of the response.
	Total   time.Duration
	Outcome Outcome
}
