package journal

import "time"

// Request is the part of a record that does not change.
type Request struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Route     string `json:"route"`
	Pool      string `json:"pool"`
	Model     string `json:"model"`
	// Body is what engines receive: streaming is on and the seed is pinned.
	Body []byte `json:"body"`
	// Seed makes a regenerated answer identical on the same version.
	Seed int64 `json:"seed"`
	// PromptTokens and MaxTokens are estimates.
	PromptTokens int      `json:"promptTokens"`
	MaxTokens    int      `json:"maxTokens"`
	Blocks       []uint64 `json:"blocks,omitempty"`
	Fingerprint  uint64   `json:"fingerprint"`
	// Stream says that the caller asked for a stream.
	Stream bool `json:"stream"`
	// AcceptedAt and Deadline are monotonic; copies carry them as durations.
	AcceptedAt time.Time `json:"-"`
	Deadline   time.Time `json:"-"`
}
