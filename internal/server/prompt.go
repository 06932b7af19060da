package server

import (
	"github.com/cespare/xxhash/v2"

	"rattantide/internal/engineclient"
)

// prompt holds the properties of a prompt by which upstreams are chosen.
type prompt struct {
	// tokens is the estimated length.
	tokens int
	// blocks are the hashes of the prompt's prefix blocks.
	blocks []uint64
	// fingerprint is a hash of the whole prompt text.
	fingerprint uint64
}

// analyzePrompt estimates a prompt's length in tokens and hashes its prefix blocks
// in the same way as the engines.
func analyzePrompt(q *chatRequest) prompt {
	messages := make([]engineclient.Message, len(q.Messages))
	for i := range q.Messages {
		messages[i] = engineclient.Message{Role: q.Messages[i].Role, Content: q.Messages[i].text()}
	}
	text := engineclient.PromptText(messages, false)
	return prompt{
		tokens: engineclient.PromptTokens(text), blocks: engineclient.PromptBlocks(text),
		fingerprint: xxhash.Sum64(text),
	}
}
