package server

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
)

// TestPromptMatchesEngines guards against prefix blocks that no engine has,
// because the daemon read the messages in another way.
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
	got := readPrompt(q)
	assert.Equal(t, got.tokens, engineclient.PromptTokens(text))
	assert.DeepEqual(t, got.blocks, engineclient.PromptBlocks(text))
	assert.Assert(t, len(got.blocks) > 4)
}
