package gateway

import "time"

// Call holds what the gateway reads from the headers of a caller's request.
type Call struct {
	// AttemptID identifies this attempt of the caller; each retry by the caller has
	// a new identifier.
	AttemptID string
	// Key is the key of the caller's workspace; it is empty if the request has none.
	Key string
	// Remaining is how long the caller waits for the response. It is set if
	// HasDeadline.
	Remaining   time.Duration
	HasDeadline bool
	// Model is the requested model; it is empty if the request names none.
	Model string
	// PromptTokens and MaxTokens are set if HasTokens.
	PromptTokens int
	MaxTokens    int
	HasTokens    bool
	// ExpectedTokens is the caller's estimate of the length of the output in
	// tokens; 0 means no estimate.
	ExpectedTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEventID identifies the event after which a stream is resumed; it is empty
	// for a new stream.
	LastEventID string
}

// PromptPart is a part of a prompt that may occur in other prompts too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Attempt holds the values that are added to the caller's headers in a request to
// an upstream.
type Attempt struct {
	// Upstream identifies the upstream that must serve the request; any other
	// receiver rejects it.
	Upstream  string
	Workspace string
	// Remaining is how long the upstream may process the request. It is set if
	// HasDeadline.
	Remaining   time.Duration
	HasDeadline bool
	// Urgency is 0 (most urgent) to 9. It is set if HasUrgency.
	Urgency    int
	HasUrgency bool
	// LastEventID identifies the event after which the stream is resumed; it is
	// empty for a new stream.
	LastEventID string
}
