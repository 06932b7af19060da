package server

import (
	"encoding/json"

	"rattantide/internal/engineclient"
)

// readPrompt estimates a prompt's length and hashes its prefix blocks as the
// engines do. Messages in a form that is not known count by their size.
func readPrompt(messages json.RawMessage) (int, []uint64) {
	var list []engineclient.Message
	if err := json.Unmarshal(messages, &list); err != nil {
		return engineclient.PromptTokens(messages), nil
	}
	text := engineclient.PromptText(list, false)
	return engineclient.PromptTokens(text), engineclient.PromptBlocks(text)
}
