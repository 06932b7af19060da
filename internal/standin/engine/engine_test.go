package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
	"rattantide/internal/standin/engine"
)

// startEngine serves an engine over HTTP and returns it with its address.
func startEngine(t *testing.T, configure func(*engine.Config)) (*engine.Engine, string) {
	t.Helper()
	config := engine.Config{TokenTime: time.Millisecond, Version: "v1", CheckFence: true}
	if configure != nil {
		configure(&config)
	}
	e := engine.New(config)
	server := httptest.NewServer(e)
	t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close() })
	return e, strings.TrimPrefix(server.URL, "http://")
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var messages = []engineclient.Message{{Role: "user", Content: "draft a brief for a brass die"}}

// requestBody returns the body of a streamed request for the given number of tokens. When
// prefixTokens is not 0, the request continues the answer prefix.
func requestBody(t *testing.T, tokens int, prefix string, prefixTokens int) []byte {
	t.Helper()
	m := messages
	fields := map[string]any{}
	if prefixTokens > 0 {
		m = append(m[:1:1], engineclient.Message{Role: "assistant", Content: prefix})
		fields = map[string]any{"rattantide_prefix_tokens": prefixTokens, "continue_final_message": true}
	}
	fields["model"], fields["messages"], fields["stream"], fields["seed"], fields["max_tokens"] = "draft", m, true, 7, tokens
	encoded, err := json.Marshal(fields)
	assert.NilError(t, err)
	return encoded
}

// readEvents reads events until the stream ends or limit events have been read. It
// returns their text, the number of the last event and the error of the stream.
func readEvents(s *engineclient.Stream, limit int) (text string, last int64, err error) {
	for range limit {
		event, err := s.Next()
		if err != nil {
			return text, last, err
		}
		if string(event.Data) == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return text, last, err
		}
		text += chunk.Choices[0].Delta.Content
		if event.ID != last+1 && last != 0 {
			return text, last, fmt.Errorf("event out of sequence: %d after %d", event.ID, last)
		}
		last = event.ID
	}
	return text, last, nil
}

// Guards against answers that depend on the batch, on a resumption or on the
// engine that continues them.
func TestAnswerIsIdenticalAfterResumeAndMigration(t *testing.T) {
	ctx, client := testContext(t), engineclient.New(nil)
	defer client.CloseIdleConnections()
	_, firstAddress := startEngine(t, nil)
	second, secondAddress := startEngine(t, nil)
	want := engine.Answer(engine.AnswerKey(messages, 7, "v1"), 40)

	s, err := client.Stream(ctx, engineclient.StreamRequest{Address: firstAddress, RequestID: "r1", Attempt: 1, Body: requestBody(t, 40, "", 0)})
	assert.NilError(t, err)
	prefix, last, err := readEvents(s, 10)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	s, err = client.Stream(ctx, engineclient.StreamRequest{Address: firstAddress, RequestID: "r1", Attempt: 2, Body: requestBody(t, 40, "", 0), AfterEvent: last})
	assert.NilError(t, err)
	rest, last, err := readEvents(s, 100)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, last, int64(41), "40 tokens and the final chunk")
	assert.Equal(t, prefix+rest, want)

	// Continue the answer on another engine from a prefix of its text.
	s, err = client.Stream(ctx, engineclient.StreamRequest{Address: secondAddress, RequestID: "r1", Attempt: 3, Body: requestBody(t, 40, prefix, 10)})
	assert.NilError(t, err)
	rest, _, err = readEvents(s, 100)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, prefix+rest, want)
	assert.Equal(t, len(second.Log().Entries(0)), 2, "start and finish")

	// Continue the answer on another engine from the exported KV cache.
	s, err = client.Stream(ctx, engineclient.StreamRequest{Address: firstAddress, RequestID: "r2", Attempt: 1, Body: requestBody(t, 40, "", 0)})
	assert.NilError(t, err)
	prefix, last, err = readEvents(s, 5)
	assert.NilError(t, err)
	state, err := client.Export(ctx, firstAddress, "r2")
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.NilError(t, client.Import(ctx, secondAddress, state))
	s, err = client.Stream(ctx, engineclient.StreamRequest{Address: secondAddress, RequestID: "r2", Attempt: 2, Body: requestBody(t, 40, "", 0), AfterEvent: last})
	assert.NilError(t, err)
	rest, _, err = readEvents(s, 100)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, prefix+rest, want)
}

// Guards against a resumption that silently restarts the answer, against refusals that
// do not state whether the call was executed, and against orders that are accepted with
// a stale fencing token.
func TestRefusals(t *testing.T) {
	ctx, client := testContext(t), engineclient.New(nil)
	defer client.CloseIdleConnections()
	e, address := startEngine(t, nil)
	request := engineclient.StreamRequest{Address: address, RequestID: "r1", Attempt: 1, Body: requestBody(t, 4, "", 0), AfterEvent: 3}
	_, err := client.Stream(ctx, request)
	assert.Assert(t, errors.Is(err, engineclient.ErrUnknownRequest), err)

	e.Faults().Update(func(f *engine.Faults) { f.Draining = true })
	request.AfterEvent = 0
	var failed *engineclient.Error
	_, err = client.Stream(ctx, request)
	assert.Assert(t, errors.As(err, &failed) && failed.Draining && failed.NotRun, err)

	e.Faults().Update(func(f *engine.Faults) { f.Draining, f.ErrorShare = false, 1 })
	_, err = client.Stream(ctx, request)
	assert.Assert(t, errors.As(err, &failed) && failed.Status == http.StatusInternalServerError && !failed.NotRun, err)

	_, err = client.Order(ctx, address, engineclient.Order{Fence: 5, ID: "a", Desired: engineclient.DesiredState{Version: "v2"}})
	assert.NilError(t, err)
	_, err = client.Order(ctx, address, engineclient.Order{Fence: 4, ID: "b", Desired: engineclient.DesiredState{Version: "v3"}})
	assert.Assert(t, errors.Is(err, engineclient.ErrStaleFence), err)
	state, err := client.OrderState(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, state.Desired.Version, "v2")
}

// Guards against a crash or a silent connection that the client takes for the
// regular end of a stream, and against silence that spreads to new connections.
func TestCrashAndSilentConnections(t *testing.T) {
	ctx, client := testContext(t), engineclient.New(nil)
	defer client.CloseIdleConnections()
	e, address := startEngine(t, nil)
	e.Faults().Update(func(f *engine.Faults) { f.CrashRequest, f.CrashToken = "r1", 6 })
	request := engineclient.StreamRequest{Address: address, RequestID: "r1", Attempt: 1, Body: requestBody(t, 1000, "", 0)}
	s, err := client.Stream(ctx, request)
	assert.NilError(t, err)
	_, last, err := readEvents(s, 100)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, last, int64(6))
	request.AfterEvent = last
	_, err = client.Stream(ctx, request)
	assert.Assert(t, errors.Is(err, engineclient.ErrUnknownRequest), err)

	request = engineclient.StreamRequest{Address: address, RequestID: "r2", Attempt: 1, Body: requestBody(t, 1000, "", 0)}
	silent, err := client.Stream(ctx, request)
	assert.NilError(t, err)
	_, before, err := readEvents(silent, 3)
	assert.NilError(t, err)
	e.Faults().Update(func(f *engine.Faults) { f.SilentConnections = true })
	request.AfterEvent, request.FreshConnection = before, true
	s, err = client.Stream(ctx, request)
	assert.NilError(t, err)
	_, last, err = readEvents(s, 5)
	assert.NilError(t, err)
	assert.Equal(t, last, before+5)
	assert.NilError(t, client.Cancel(ctx, address, "r2"))
	assert.NilError(t, client.Cancel(ctx, address, "r2"), "cancelling twice is no error")
}

// Guards against a prefix cache whose state is missing from its events, from the
// usage of a response or from the reported memory.
func TestPrefixCache(t *testing.T) {
	ctx, client := testContext(t), engineclient.New(nil)
	defer client.CloseIdleConnections()
	e, address := startEngine(t, func(c *engine.Config) { c.KVTokens = 2000 })
	complete := func(id, prompt string) string {
		body := fmt.Sprintf(`{"model":"draft","max_tokens":4,"messages":[{"role":"user","content":[{"type":"text","text":%q}]}]}`, prompt)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("X-Request-Id", id)
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer res.Body.Close()
		content, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return string(content)
	}
	prompt := strings.Repeat("archive ", 500)
	assert.Assert(t, strings.Contains(complete("a", prompt+"one"), `"cached_tokens":0`))
	assert.Assert(t, !strings.Contains(complete("b", prompt+"two"), `"cached_tokens":0`))
	events, err := client.CacheEvents(ctx, address, 0)
	assert.NilError(t, err)
	text := engineclient.PromptText([]engineclient.Message{{Role: "user", Content: prompt + "one"}}, false)
	stored := map[string]bool{}
	for _, event := range events.Events {
		stored[event.Block] = event.Type == engineclient.CacheStored
	}
	for _, block := range engineclient.PromptBlocks(text) {
		assert.Assert(t, stored[engineclient.FormatBlock(block)])
	}
	complete("c", strings.Repeat("another prompt evicts it ", 250))
	assert.Assert(t, strings.Contains(complete("d", prompt+"one"), `"cached_tokens":0`))
	e.Faults().Update(func(f *engine.Faults) { f.CacheEventGapShare = 1 })
	load, err := client.Load(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, load.KVTotalTokens, int64(2000))
	assert.Assert(t, load.KVUsedTokens > 0 && load.KVUsedTokens <= 2000)
}
