package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the length in tokens of the blocks by which the routing index
	// identifies prompts.
	blockTokens = 256
	// maxBlocks bounds the number of blocks per prompt.
	maxBlocks = 512
)

// promptBlocks returns cumulative hashes of a prompt's blocks: the hash of a block
// covers everything before it, as a cached block is usable only if all blocks
// before it are cached as well.
func promptBlocks(model string, parts []PromptPart) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	var blocks []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	var word [8]byte
	add := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		_, _ = digest.Write(word[:])
	}
	for _, part := range parts {
		add(part.ID)
		for at := 0; at < part.Tokens && len(blocks) < maxBlocks; at += blockTokens {
			add(uint64(at))
			blocks = append(blocks, digest.Sum64())
		}
	}
	return blocks
}
