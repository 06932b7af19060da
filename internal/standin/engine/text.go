package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/engineclient"
)

const (
	// minNaturalLength and naturalLengthSpan set the range of the length of an
	// answer, in tokens, to a request that sets no limit.
	minNaturalLength  = 32
	naturalLengthSpan = 224
)

var words = [...]string{
	"anvil", "brass", "burin", "chisel", "die", "draft", "etch", "forge", "gauge", "gild",
	"hatch", "ink", "jig", "kiln", "line", "mark", "nib", "oil", "plate", "proof",
	"quill", "relief", "seal", "stamp", "temper", "tone", "wax", "bowl", "broth", "ladle",
	"menu", "oven", "pot", "rota", "serve", "shift", "stew", "table", "tray", "volunteer",
}

// AnswerKey returns the key that determines the text of an answer. It depends only
// on the original messages, the seed and the model version.
func AnswerKey(messages []engineclient.Message, seed int64, version string) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(engineclient.PromptText(messages, false))
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(seed))
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(version)
	return digest.Sum64()
}

// Token returns token i, counted from 1, of the answer with this key.
func Token(key uint64, i int) string {
	word := words[splitmix64(key+uint64(i))%uint64(len(words))]
	if i == 1 {
		return word
	}
	return " " + word
}

// Answer returns the first n tokens of the answer with this key.
func Answer(key uint64, n int) string {
	var text []byte
	for i := 1; i <= n; i++ {
		text = append(text, Token(key, i)...)
	}
	return string(text)
}

// NaturalLength returns the number of tokens of the answer with this key when the
// request sets no limit.
func NaturalLength(key uint64) int { return minNaturalLength + int(splitmix64(key)%naturalLengthSpan) }

// splitmix64 returns the next output of the splitmix64 generator for state x. It
// distributes consecutive numbers evenly.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
