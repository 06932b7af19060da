package engineclient

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens in a block of an engine's prefix cache.
	BlockTokens = 16
	// BytesPerToken is the assumed length of a token. Engines and daemons must
	// use the same value to compute the same prompt blocks.
	BytesPerToken = 4
)

// PromptText returns the text over which prompt blocks are computed. With
// continueLast, the last message is to be continued, so its closing newline is
// omitted.
func PromptText(messages []Message, continueLast bool) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for i, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		if !continueLast || i < len(messages)-1 {
			text = append(text, '\n')
		}
	}
	return text
}

// PromptTokens estimates the number of tokens of a prompt text.
func PromptTokens(text []byte) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// PromptBlocks returns the hashes of the full prefix blocks of a prompt text. Each
// hash covers the text from its start to the end of that block. An incomplete
// last block has no hash.
func PromptBlocks(text []byte) []uint64 {
	const size = BlockTokens * BytesPerToken
	blocks := make([]uint64, 0, len(text)/size)
	digest := xxhash.New()
	for len(text) >= size {
		_, _ = digest.Write(text[:size])
		blocks = append(blocks, digest.Sum64())
		text = text[size:]
	}
	return blocks
}

// FormatBlock encodes a block hash in the form used in cache events.
func FormatBlock(block uint64) string { return fmt.Sprintf("%016x", block) }

// ParseBlock decodes a block hash from a cache event.
func ParseBlock(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }
