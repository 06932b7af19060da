package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/findings"
)

// TestReadDocumentsDecodesOrReportsEveryDocument guards against content of a file
// that is neither returned as a document nor reported as a finding, and against
// input that makes the tool panic.
func TestReadDocumentsDecodesOrReportsEveryDocument(t *testing.T) {
	validity := map[string]bool{
		"kind: Pool\nname: a\nspec: {type: chat, version: v1}\n": true,
		"kind: Pool\nname: A\nspec: {type: none}\n":              false,
		"- a list\n":                  false,
		"kind: Pool\nkind: Class\n":   false,
		"? [a, b]\n: key of a list\n": false,
		"spec: .nan\n":                false,
	}
	texts := make([]string, 0, len(validity))
	for text := range validity {
		texts = append(texts, text)
	}
	rapid.Check(t, func(t *rapid.T) {
		sampled := rapid.SliceOfN(rapid.SampledFrom(texts), 1, 6).Draw(t, "parts")
		list := &findings.List{}
		documents := readDocuments("f", []byte(strings.Join(sampled, "---\n")), list)
		hasInvalid := false
		for _, text := range sampled {
			hasInvalid = hasInvalid || !validity[text]
		}
		assert.Equal(t, list.IsEmpty(), !hasInvalid, "%v", list.Items())
		assert.Assert(t, hasInvalid || len(documents) == len(sampled))
	})
	rapid.Check(t, func(t *rapid.T) {
		readDocuments("f", rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), &findings.List{})
	})
}
