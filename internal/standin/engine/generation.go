package engine

import (
	"strconv"
	"time"

	"rattantide/internal/engineclient"
)

// ending tells how a generation ended.
type ending string

const (
	endNone     ending = ""
	endFinished ending = "finish"
	endCanceled ending = "cancel"
	endExpired  ending = "expire"
	endCrashed  ending = "crash"
	// endExported pauses the generation: a resumption goes on with it.
	endExported ending = "export"
)

// generation is the answer to one request. It is guarded by the engine's mutex.
type generation struct {
	id       string
	model    string
	version  string
	key      uint64
	bodyHash uint64
	created  int64
	priority int
	arrival  int64

	blocks       []uint64
	promptTokens int
	// original counts the tokens of the prompt without the given prefix.
	original     int
	cachedTokens int
	prefixTokens int
	prefillLeft  float64
	prompted     bool
	// produced counts the tokens of the answer including the given prefix,
	// total is its full length.
	produced, total int
	limited         bool
	credit          float64

	running bool
	end     ending
	// attached counts connections; without any, the generation is dropped at
	// expires.
	attached int
	expires  time.Time
	watchers []chan struct{}
}

func newGeneration(q *request, version string) *generation {
	g := &generation{
		id:           q.id,
		model:        q.Model,
		version:      version,
		key:          AnswerKey(q.original(), q.Seed, version),
		bodyHash:     q.bodyHash,
		created:      time.Now().Unix(),
		priority:     q.priority,
		prefixTokens: q.PrefixTokens,
		produced:     q.PrefixTokens,
	}
	text := engineclient.PromptText(q.Messages, q.Continue)
	g.blocks = engineclient.PromptBlocks(text)
	g.promptTokens = engineclient.PromptTokens(text)
	g.original = engineclient.PromptTokens(engineclient.PromptText(q.original(), false))
	g.total = NaturalLength(g.key)
	if q.MaxTokens > 0 {
		g.total, g.limited = q.MaxTokens, true
	}
	g.total = max(g.total, g.produced)
	return g
}

// kvTokens is the memory the generation takes now.
func (g *generation) kvTokens() int { return g.promptTokens + g.produced - g.prefixTokens }

// kvReserve is the memory the generation needs until its end.
func (g *generation) kvReserve() int { return g.promptTokens + g.total - g.prefixTokens }

func (g *generation) notify() {
	for _, w := range g.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (g *generation) watch() chan struct{} {
	w := make(chan struct{}, 1)
	g.watchers = append(g.watchers, w)
	return w
}

func (g *generation) unwatch(gone chan struct{}) {
	for i, w := range g.watchers {
		if w == gone {
			g.watchers = append(g.watchers[:i], g.watchers[i+1:]...)
			return
		}
	}
}

func (g *generation) finishReason() string {
	if g.limited {
		return "length"
	}
	return "stop"
}

// chunk appends token i as a chunk of the stream. It is safe without the lock:
// the fields it reads never change.
func (g *generation) chunk(to []byte, i int) []byte {
	to = g.head(to, "chat.completion.chunk")
	to = append(to, `,"choices":[{"index":0,"delta":{`...)
	if i == 1 {
		to = append(to, `"role":"assistant",`...)
	}
	to = append(to, `"content":"`...)
	to = append(to, Token(g.key, i)...)
	return append(to, `"},"finish_reason":null}]}`...)
}

// last appends the final chunk.
func (g *generation) last(to []byte) []byte {
	to = g.head(to, "chat.completion.chunk")
	to = append(to, `,"choices":[{"index":0,"delta":{},"finish_reason":"`...)
	to = append(to, g.finishReason()...)
	to = append(to, `"}],`...)
	return append(g.usage(to), '}')
}

// whole appends the answer to a call without streaming. It holds the tokens
// after the prefix that was given.
func (g *generation) whole(to []byte) []byte {
	to = g.head(to, "chat.completion")
	to = append(to, `,"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	for i := g.prefixTokens + 1; i <= g.total; i++ {
		to = append(to, Token(g.key, i)...)
	}
	to = append(to, `"},"finish_reason":"`...)
	to = append(to, g.finishReason()...)
	to = append(to, `"}],`...)
	return append(g.usage(to), '}')
}

func (g *generation) head(to []byte, object string) []byte {
	to = append(to, `{"id":"chatcmpl-`...)
	to = append(to, g.id...)
	to = append(to, `","object":"`...)
	to = append(to, object...)
	to = append(to, `","created":`...)
	to = strconv.AppendInt(to, g.created, 10)
	to = append(to, `,"model":`...)
	to = strconv.AppendQuote(to, g.model)
	to = append(to, `,"system_fingerprint":`...)
	return strconv.AppendQuote(to, g.version)
}

// usage counts the whole answer: a prefix that was given back belongs to it
// and not to the prompt, so that the caller of a moved request sees the same.
func (g *generation) usage(to []byte) []byte {
	to = append(to, `"usage":{"prompt_tokens":`...)
	to = strconv.AppendInt(to, int64(g.original), 10)
	to = append(to, `,"completion_tokens":`...)
	to = strconv.AppendInt(to, int64(g.total), 10)
	to = append(to, `,"total_tokens":`...)
	to = strconv.AppendInt(to, int64(g.original+g.total), 10)
	to = append(to, `,"prompt_tokens_details":{"cached_tokens":`...)
	to = strconv.AppendInt(to, int64(g.cachedTokens), 10)
	return append(to, "}}"...)
}
