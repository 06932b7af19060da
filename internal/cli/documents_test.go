package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/findings"
)

// TestReadDocumentsAccountsForAll guards against a file of which a part is
// neither a document nor a finding, and against input that ends the tool.
func TestReadDocumentsAccountsForAll(t *testing.T) {
	parts := map[string]bool{
		"kind: Pool\nname: a\nspec: {type: chat, version: v1}\n": true,
		"kind: Pool\nname: A\nspec: {type: none}\n":              false,
		"- a list\n":                  false,
		"kind: Pool\nkind: Class\n":   false,
		"? [a, b]\n: key of a list\n": false,
		"spec: .nan\n":                false,
	}
	names := make([]string, 0, len(parts))
	for part := range parts {
		names = append(names, part)
	}
	rapid.Check(t, func(t *rapid.T) {
		chosen := rapid.SliceOfN(rapid.SampledFrom(names), 1, 6).Draw(t, "parts")
		list := &findings.List{}
		documents := readDocuments("f", []byte(strings.Join(chosen, "---\n")), list)
		wrong := false
		for _, part := range chosen {
			wrong = wrong || !parts[part]
		}
		assert.Equal(t, list.Empty(), !wrong, "%v", list.Items())
		assert.Assert(t, wrong || len(documents) == len(chosen))
	})
	rapid.Check(t, func(t *rapid.T) {
		readDocuments("f", rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), &findings.List{})
	})
}
