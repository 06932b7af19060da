//go:build !fuzz

// The fuzzing build instruments all packages. For the packages of the OpenAI
// client this takes minutes and more than 1.5 GB.

package server

import (
	"net/http"
	"testing"

	"github.com/juju/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rattantide/internal/problem"
)

// TestOpenAIClient guards against answers that the OpenAI client library does not
// accept, whether whole, streamed or refused.
func TestOpenAIClient(t *testing.T) {
	pool := &fakePool{}
	pool.add("first", "v1", newFakeEngine(t, "v1", func(n int, c *engineCall) {
		if n%2 == 1 {
			c.events(1, 5)
			c.dropConnection()
		}
		c.sendRest()
	}).URL)
	h := newHarness(t, pool, nil)
	caller := openai.NewClient(option.WithBaseURL(h.http.URL+"/v1/"), option.WithAPIKey(testToken),
		option.WithHTTPClient(h.http.Client()), option.WithMaxRetries(0))
	request := openai.ChatCompletionNewParams{
		Model: "brief", Seed: openai.Int(7), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")},
	}
	whole, err := caller.Chat.Completions.New(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, wholeText("v1", 7))
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, int64(answerSize))

	stream := caller.Chat.Completions.NewStreaming(t.Context(), request)
	sum := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		assert.Assert(t, sum.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, sum.Choices[0].Message.Content, wholeText("v1", 7))

	request.Model = "none"
	var refused *openai.Error
	_, err = caller.Chat.Completions.New(t.Context(), request)
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.StatusCode, http.StatusNotFound)
}

// TestRejectedRequest guards against a request that is retried at other engines or
// reported as possibly run after an engine rejected it.
func TestRejectedRequest(t *testing.T) {
	pool := &fakePool{}
	first := newFakeEngine(t, "v1", func(_ int, c *engineCall) { c.refuse(http.StatusBadRequest) })
	second := newFakeEngine(t, "v1", nil)
	pool.add("first", "v1", first.URL)
	pool.add("second", "v1", second.URL)
	h := newHarness(t, pool, nil)
	response := h.do(t, "POST", "/v1/chat/completions", nonStreamBody)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, problemOf(t, response).Execution, problem.ExecutionNotRun)
	assert.Equal(t, len(second.recordedCalls()), 0)
}
