package gateway

import "time"

// Call is what a caller's headers say of its request.
type Call struct {
	// AttemptID identifies this attempt of the caller; a repeated attempt has
	// another one.
	AttemptID string
	Key       string
	// Remaining is how long the caller waits, if HasDeadline.
	Remaining   time.Duration
	HasDeadline bool
	Model       string
	// PromptTokens and MaxTokens are set if HasTokens.
	PromptTokens int
	MaxTokens    int
	HasTokens    bool
	// ExpectedTokens is the caller's guess of the answer's length; 0 means none.
	ExpectedTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEventID is the event after which a stream goes on; empty for a new one.
	LastEventID string
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Attempt is what an upstream is told in addition to the caller's headers.
type Attempt struct {
	// Upstream is the identifier that the receiver must have.
	Upstream  string
	Workspace string
	// Remaining is how long the upstream may work, if HasDeadline.
	Remaining   time.Duration
	HasDeadline bool
	// Urgency is 0 (first) to 9, if HasUrgency.
	Urgency    int
	HasUrgency bool
	// LastEventID is the event after which the answer goes on; empty for a new
	// answer.
	LastEventID string
}
