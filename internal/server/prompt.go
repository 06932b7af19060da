package server

import (
	"github.com/cespare/xxhash/v2"

	"rattantide/internal/engineclient"
)

// prompt is what decisions need to know of a prompt.
type prompt struct {
	tokens      int
	blocks      []uint64
	fingerprint uint64
}

// readPrompt estimates a prompt's length and hashes its prefix blocks as the
// engines do.
func readPrompt(q *chatRequest) prompt {
	list := make([]engineclient.Message, len(q.Messages))
	for i := range q.Messages {
		list[i] = engineclient.Message{Role: q.Messages[i].Role, Content: q.Messages[i].text()}
	}
	text := engineclient.PromptText(list, false)
	return prompt{
		tokens: engineclient.PromptTokens(text), blocks: engineclient.PromptBlocks(text),
		fingerprint: xxhash.Sum64(text),
	}
}
