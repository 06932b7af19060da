package server

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
)

// TestPromptMatchesEngines guards against prefix block hashes that match no engine,
// because the daemon decodes the messages differently from engines.
func TestPromptMatchesEngines(t *testing.T) {
	long := strings.Repeat("brass ", 40)
	messages := `[{"role":"system","content":null},{"role":"user","content":[{"type":"text","text":"` + long +
		`"},{"type":"image_url"},{"type":"text","text":"die"}]},{"role":"assistant"},{"role":"user","content":"\u00e4` + long + `"}]`
	var list []engineclient.Message
	assert.NilError(t, json.Unmarshal([]byte(messages), &list))
	text := engineclient.PromptText(list, false)
	body := []byte(`{"model":"brief","messages":` + messages + `}`)
	q, p := parseChat(body)
	assert.Assert(t, p == nil)
	prompt := analyzePrompt(q)
	assert.Equal(t, prompt.tokens, engineclient.PromptTokens(text))
	assert.DeepEqual(t, prompt.blocks, engineclient.PromptBlocks(text))
	assert.Assert(t, len(prompt.blocks) > 4)
}
