package routing

import "time"

// Request is the metadata of an attempt that policies decide on.
type Request struct {
	// PromptTokens is the estimated length of the prompt; 0 for plain services.
	PromptTokens int
	// MaxTokens is the estimated number of tokens still to be generated.
	MaxTokens int
	// Blocks are cumulative hashes of the prompt's prefix blocks.
	Blocks []uint64
	// SharedBlocks is the number of leading blocks that other prompts may begin with too; 0 if
	// that is not known.
	SharedBlocks int
	// Rand is the random input of this decision. The same value reproduces the
	// decision.
	Rand uint64
	Now  time.Time
	// Prompts is the input of PromptDelay; the zero value switches it off.
	Prompts PromptView
}
