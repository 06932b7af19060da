package dispatch

import "time"

// Status is the way in which an attempt ended.
type Status string

// The statuses of an ended attempt.
const (
	StatusOK Status = "ok"
	// StatusError means that the upstream answered with an error, or with a response that
	// is invalid.
	StatusError Status = "error"
	// StatusCrash means that the connection was lost while the upstream had the
	// request, or that no new connection to resume the request could be opened.
	StatusCrash Status = "crash"
	// StatusRefused means that the upstream did not run the call: the
	// connection was refused, or the upstream answered that it is draining.
	StatusRefused Status = "refused"
	// StatusBusy means that the upstream's queue was full and that it did not
	// run the call.
	StatusBusy Status = "busy"
	// StatusTimeout means that the attempt made no progress before a progress
	// deadline.
	StatusTimeout Status = "timeout"
	// StatusCanceled means that the caller canceled the request or another
	// attempt finished first. It is no evidence about the upstream.
	StatusCanceled Status = "canceled"
	// StatusMoved means that the attempt was moved to another upstream or
	// daemon because its own is leaving.
	StatusMoved Status = "moved"
)

// Result is the measured outcome of an ended attempt.
type Result struct {
	Status Status
	// Draining reports whether the upstream itself answered that it is leaving.
	Draining bool
	// Backoff is how long the upstream wants no further request of this daemon; 0 means that it
	// does not ask for that.
	Backoff time.Duration
	// FirstToken is the time from dispatch to the first token or byte; 0 when
	// none was received.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total  time.Duration
	Tokens int
	// MaxGap is the longest time between two tokens.
	MaxGap time.Duration
	// MeanGap is the mean time between two tokens. The class's target between
	// tokens is compared with the mean, because the longest of some hundred
	// gaps says little about the share of gaps within the target.
	MeanGap time.Duration
	// CachedTokens and PromptTokens are as reported by the engine.
	CachedTokens int
	PromptTokens int
	// RecomputedTokens is the number of tokens that this attempt had to compute
	// again because their state was lost or moved.
	RecomputedTokens int
}
