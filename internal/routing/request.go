package routing

import "time"

// Request is what a policy needs to know of an attempt.
type Request struct {
	// PromptTokens estimates the prompt's length; 0 for plain services.
	PromptTokens int
	// MaxTokens estimates the tokens still to be generated.
	MaxTokens int
	// Blocks are cumulative hashes of the prompt's prefix blocks.
	Blocks []uint64
	// Rand holds the random bits of this decision, so that a decision can be
	// repeated.
	Rand uint64
	Now  time.Time
}
