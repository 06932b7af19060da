package dispatch

import "time"

// Request is the metadata of a caller's request that the choice of an upstream
// depends on. It contains neither the prompt nor the body.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Route     string
	Pool      string
	Chat      bool
	// Idempotent reports whether the call may be repeated.
	Idempotent bool
	// PromptTokens estimates the prompt's length.
	PromptTokens int
	// MaxTokens estimates the length of the answer.
	MaxTokens int
	// Blocks are the hashes of the prompt's prefix blocks. Each hash covers the
	// prompt from its start to the end of that block.
	Blocks []uint64
	// SharedBlocks is the number of leading blocks that other prompts may begin with too; 0 if
	// that is not known.
	SharedBlocks int
	// AcceptedAt and Deadline bound the request; a zero Deadline means none. Both
	// have a monotonic clock reading.
	AcceptedAt time.Time
	Deadline   time.Time
	// Attempt is the number of this attempt, starting at 1.
	Attempt int
	// ReachedAttempts is the number of earlier attempts that reached an upstream. An
	// attempt counts as a repeat for Options.RepeatBudget only when it is above 0.
	ReachedAttempts int
	// ResumedTokens is the number of tokens of the answer that are already
	// known.
	ResumedTokens int
	// PinVersion, when not empty, asks for an upstream of this version if one
	// is usable, so that a continued answer stays the same.
	PinVersion string
	// Exclude names upstreams that must not be chosen again.
	Exclude []string
	// Fingerprint identifies the content, so that a request that crashed
	// several upstreams is recognized under another request ID.
	Fingerprint uint64
	// Key returns a hash of the content, by which admission recognizes a caller that returns.
	// It may be nil.
	Key func() uint64
	// Priority, when not nil, overrides the priority of the class, 0 (lowest)
	// to 9.
	Priority *int
}
