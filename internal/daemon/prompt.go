package daemon

import (
	"encoding/json"

	"rattantide/internal/engineclient"
)

// estimatePrompt returns the length of a prompt in tokens and the hashes of its
// prefix blocks, as the engines compute them.
func estimatePrompt(raw json.RawMessage) (int, []uint64) {
	var messages []engineclient.Message
	if err := json.Unmarshal(raw, &messages); err != nil {
		return 0, nil
	}
	text := engineclient.PromptText(messages, false)
	return engineclient.PromptTokens(text), engineclient.PromptBlocks(text)
}
