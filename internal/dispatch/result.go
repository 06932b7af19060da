package dispatch

import "time"

// Status tells how an attempt ended.
type Status string

// The ways in which an attempt ends.
const (
	StatusOK Status = "ok"
	// StatusError is an error answered by the upstream.
	StatusError Status = "error"
	// StatusCrash is a connection that the upstream lost or refused while it
	// had the request.
	StatusCrash Status = "crash"
	// StatusRefused means that the upstream did not run the call: the
	// connection was refused, or the upstream answered that it is draining.
	StatusRefused Status = "refused"
	// StatusBusy means that the upstream's queue was full and that it did not
	// run the call.
	StatusBusy Status = "busy"
	// StatusTimeout means that a progress deadline passed.
	StatusTimeout Status = "timeout"
	// StatusCanceled means that the caller gave up or another attempt won; it
	// says nothing about the upstream.
	StatusCanceled Status = "canceled"
	// StatusMoved means that the attempt was moved away because its upstream
	// or its daemon is leaving.
	StatusMoved Status = "moved"
)

// Result is what was seen of an attempt.
type Result struct {
	Status Status
	// Draining is set when the upstream itself said that it is leaving.
	Draining bool
	// FirstToken is the time from dispatch to the first token or byte; 0 when
	// none came.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total  time.Duration
	Tokens int
	// MaxGap is the longest time between two tokens.
	MaxGap time.Duration
	// MeanGap is the mean time between two tokens. The class's target between
	// tokens is compared with it, as the longest of some hundred gaps says
	// little about the share of gaps within the target.
	MeanGap time.Duration
	// CachedTokens and PromptTokens are as the engine reported them.
	CachedTokens int
	PromptTokens int
	// RecomputedTokens counts tokens whose state was lost or moved and that
	// this attempt had to compute again.
	RecomputedTokens int
}
