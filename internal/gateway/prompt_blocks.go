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
// before it are cached as well. shared is the number of leading blocks that belong to parts
// which other prompts may contain too.
func promptBlocks(model string, parts []PromptPart) (blocks []uint64, shared int) {
	if len(parts) == 0 {
		return nil, 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	var word [8]byte
	add := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		_, _ = digest.Write(word[:])
	}
	for i, part := range parts {
		if i == len(parts)-1 {
			shared = len(blocks)
		}
		add(part.ID)
		for at := 0; at < part.Tokens && len(blocks) < maxBlocks; at += blockTokens {
			add(uint64(at))
			blocks = append(blocks, digest.Sum64())
		}
	}
	return blocks, shared
}
