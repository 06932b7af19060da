package journal

import "time"

// Request is the immutable part of a record.
type Request struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Route     string `json:"route"`
	Pool      string `json:"pool"`
	Model     string `json:"model"`
	// Body is the body sent to engines, with streaming enabled and the seed
	// set.
	Body []byte `json:"body"`
	// Seed is the sampling seed; it makes a regenerated answer identical on the
	// same version.
	Seed int64 `json:"seed"`
	// PromptTokens is the estimated length of the prompt in tokens. MaxTokens is
	// the caller's limit for the answer, or its assumed length if there is none.
	PromptTokens int `json:"promptTokens"`
	MaxTokens    int `json:"maxTokens"`
	// Blocks are the hashes of the prompt's prefix blocks, and Fingerprint is a
	// hash of the whole prompt.
	Blocks      []uint64 `json:"blocks,omitempty"`
	Fingerprint uint64   `json:"fingerprint"`
	// Stream reports whether the caller requested a stream.
	Stream bool `json:"stream"`
	// AcceptedAt and Deadline have monotonic clock readings; copies contain
	// them as durations.
	AcceptedAt time.Time `json:"-"`
	Deadline   time.Time `json:"-"`
}
