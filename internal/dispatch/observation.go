package dispatch

import "time"

// Observation is the result of an ended attempt, with the dimensions to which
// it is attributed.
type Observation struct {
	RequestID string
	Class     string
	Workspace string
	Route     string
	Pool      string
	Version   string
	Domain    string
	Upstream  string
	Attempt   int
	// Queued is the time from acceptance to dispatch.
	Queued time.Duration
	// FirstToken, BetweenTokens and Total are as in Result; FirstToken and
	// Total count from dispatch.
	FirstToken       time.Duration
	BetweenTokens    time.Duration
	Total            time.Duration
	Tokens           int
	PromptTokens     int
	CachedTokens     int
	RecomputedTokens int
	Outcome          Status
}
