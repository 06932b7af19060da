package server

import (
	"encoding/json"

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
// engines do, or as Options.Prompt does when it is set.
func (s *Server) readPrompt(q *chatRequest, body []byte) prompt {
	list := make([]engineclient.Message, len(q.Messages))
	for i := range q.Messages {
		list[i] = engineclient.Message{Role: q.Messages[i].Role, Content: q.Messages[i].text()}
	}
	text := engineclient.PromptText(list, false)
	p := prompt{fingerprint: xxhash.Sum64(text)}
	if s.options.Prompt == nil {
		p.tokens, p.blocks = engineclient.PromptTokens(text), engineclient.PromptBlocks(text)
		return p
	}
	var raw struct {
		Messages json.RawMessage `json:"messages"`
	}
	// The body was decoded before.
	_ = json.Unmarshal(body, &raw)
	p.tokens, p.blocks = s.options.Prompt(raw.Messages)
	return p
}
