package engine

import (
	"strconv"
	"time"

	"rattantide/internal/engineclient"
)

// endReason is the reason for which a generation ended. Its value is also the
// name of the log event.
type endReason string

const (
	endNone     endReason = ""
	endFinished endReason = "finish"
	endCanceled endReason = "cancel"
	endExpired  endReason = "expire"
	endCrashed  endReason = "crash"
	// endExported pauses the generation: a resumption continues it.
	endExported endReason = "export"
)

// generation is the answer to one request. It is guarded by Engine.mu.
type generation struct {
	id         string
	model      string
	version    string
	key        uint64
	bodyHash   uint64
	created    int64
	priority   int
	arrivalSeq int64

	blocks       []uint64
	promptTokens int
	// originalPromptTokens counts the tokens of the prompt without the answer
	// prefix that the request contains.
	originalPromptTokens int
	cachedTokens         int
	prefixTokens         int
	prefillRemaining     float64
	isPrefilled          bool
	// produced counts the tokens of the answer so far, including the prefix that
	// the request contains; total is the full length of the answer.
	produced, total int
	hasTokenLimit   bool
	// decodeCredit is the decoding progress towards the next token; at 1 the token
	// is produced. A slowed generation gains less than 1 per step.
	decodeCredit float64

	isRunning bool
	end       endReason
	// connections counts the connections that wait for the generation. When there
	// are none, the generation is removed at expiresAt.
	connections int
	expiresAt   time.Time
	watchers    []chan struct{}
}

func newGeneration(q *request, version string) *generation {
	g := &generation{
		id:           q.id,
		model:        q.Model,
		version:      version,
		key:          AnswerKey(q.originalMessages(), q.Seed, version),
		bodyHash:     q.bodyHash,
		created:      time.Now().Unix(),
		priority:     q.priority,
		prefixTokens: q.PrefixTokens,
		produced:     q.PrefixTokens,
	}
	text := engineclient.PromptText(q.Messages, q.Continue)
	g.blocks = engineclient.PromptBlocks(text)
	g.promptTokens = engineclient.PromptTokens(text)
	g.originalPromptTokens = engineclient.PromptTokens(engineclient.PromptText(q.originalMessages(), false))
	g.total = NaturalLength(g.key)
	if q.MaxTokens > 0 {
		g.total, g.hasTokenLimit = q.MaxTokens, true
	}
	g.total = max(g.total, g.produced)
	return g
}

// kvTokens returns the memory that the generation uses now, in tokens.
func (g *generation) kvTokens() int { return g.promptTokens + g.produced - g.prefixTokens }

// maxKVTokens returns the memory that the generation uses at its end, in tokens.
func (g *generation) maxKVTokens() int { return g.promptTokens + g.total - g.prefixTokens }

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

func (g *generation) unwatch(watcher chan struct{}) {
	for i, w := range g.watchers {
		if w == watcher {
			g.watchers = append(g.watchers[:i], g.watchers[i+1:]...)
			return
		}
	}
}

func (g *generation) finishReason() string {
	if g.hasTokenLimit {
		return "length"
	}
	return "stop"
}

// appendChunk appends the stream chunk of token i to buf. It needs no lock because
// the fields that it reads never change.
func (g *generation) appendChunk(buf []byte, i int) []byte {
	buf = g.appendHeader(buf, "chat.completion.chunk")
	buf = append(buf, `,"choices":[{"index":0,"delta":{`...)
	if i == 1 {
		buf = append(buf, `"role":"assistant",`...)
	}
	buf = append(buf, `"content":"`...)
	buf = append(buf, Token(g.key, i)...)
	return append(buf, `"},"finish_reason":null}]}`...)
}

// appendFinalChunk appends the last chunk of the stream, which contains the finish
// reason and the usage.
func (g *generation) appendFinalChunk(buf []byte) []byte {
	buf = g.appendHeader(buf, "chat.completion.chunk")
	buf = append(buf, `,"choices":[{"index":0,"delta":{},"finish_reason":"`...)
	buf = append(buf, g.finishReason()...)
	buf = append(buf, `"}],`...)
	return append(g.appendUsage(buf), '}')
}

// appendCompletion appends the response to a call without streaming. It contains
// the tokens after the prefix that the request contains.
func (g *generation) appendCompletion(buf []byte) []byte {
	buf = g.appendHeader(buf, "chat.completion")
	buf = append(buf, `,"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	for i := g.prefixTokens + 1; i <= g.total; i++ {
		buf = append(buf, Token(g.key, i)...)
	}
	buf = append(buf, `"},"finish_reason":"`...)
	buf = append(buf, g.finishReason()...)
	buf = append(buf, `"}],`...)
	return append(g.appendUsage(buf), '}')
}

func (g *generation) appendHeader(buf []byte, object string) []byte {
	buf = append(buf, `{"id":"chatcmpl-`...)
	buf = append(buf, g.id...)
	buf = append(buf, `","object":"`...)
	buf = append(buf, object...)
	buf = append(buf, `","created":`...)
	buf = strconv.AppendInt(buf, g.created, 10)
	buf = append(buf, `,"model":`...)
	buf = strconv.AppendQuote(buf, g.model)
	buf = append(buf, `,"system_fingerprint":`...)
	return strconv.AppendQuote(buf, g.version)
}

// appendUsage appends the usage of the whole answer. The prefix that a request
// contains is counted as part of the answer and not of the prompt, so that the
// client gets the same usage whether or not its request was moved.
func (g *generation) appendUsage(buf []byte) []byte {
	buf = append(buf, `"usage":{"prompt_tokens":`...)
	buf = strconv.AppendInt(buf, int64(g.originalPromptTokens), 10)
	buf = append(buf, `,"completion_tokens":`...)
	buf = strconv.AppendInt(buf, int64(g.total), 10)
	buf = append(buf, `,"total_tokens":`...)
	buf = strconv.AppendInt(buf, int64(g.originalPromptTokens+g.total), 10)
	buf = append(buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	buf = strconv.AppendInt(buf, int64(g.cachedTokens), 10)
	return append(buf, "}}"...)
}
