package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

// FuzzChatRequest guards against a body that panics the daemon, that is accepted
// but not forwarded to engines as a stream with the pinned seed, or whose prompt
// is changed when it is forwarded.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		streamBody, nonStreamBody, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":false}`,
		` { "messages" : [ { "content" : null } ] , "model" : "m" , "max_tokens" : -1 }`, `{"model":"m","messages":[{}],"seed":null,"stream":null}`,
		`{"MODEL":"m","messages":[{"content":1}],"Seed":1,"seed":2}`, `{}`, `null`, `[`, `{"model":"m","messages":[{}],"rattantide_prefix_tokens":1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, p := parseChat(body)
		if p != nil {
			assert.Equal(t, p.Execution, problem.ExecutionNotRun)
			return
		}
		assert.Assert(t, q.maxTokens() > 0)
		before := analyzePrompt(q)
		sent, seed, err := q.engineBody(body)
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(sent), "%q", sent)
		decoded, p := parseChat(sent)
		assert.Assert(t, p == nil, "%v: %q", p, sent)
		assert.Assert(t, decoded.wantsStream(), "%q", sent)
		assert.Assert(t, decoded.Seed != nil && *decoded.Seed == seed, "%q", sent)
		assert.Equal(t, analyzePrompt(decoded).fingerprint, before.fingerprint)
	})
}

// FuzzRequestID guards against an identifier that is accepted although it would
// be read as another path, header or log field.
func FuzzRequestID(f *testing.F) {
	for _, seed := range []string{"a-1", "", "..", "a/b", "a\r\nb", "%2e%2e", "\x00", "é"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		if !isValidID(id) {
			return
		}
		r := httptest.NewRequest(http.MethodGet, "/v1/requests/"+id+"/stream", nil)
		assert.Equal(t, r.URL.Path, "/v1/requests/"+id+"/stream")
		assert.Assert(t, len(id) <= maxIDBytes)
	})
}

// FuzzLastEventID guards against a Last-Event-ID that panics the daemon or makes it
// send wrongly numbered events.
func FuzzLastEventID(f *testing.F) {
	pool := &fakePool{}
	pool.add("first", "v1", newFakeEngine(f, "v1", func(_ int, c *engineCall) { c.sendRest() }).URL)
	h := newHarness(f, pool, nil)
	handler := h.Handler()
	const id = "known"
	first := h.do(f, "POST", "/v1/chat/completions", nonStreamBody, "X-Request-Id", id)
	assert.Equal(f, first.StatusCode, http.StatusOK)
	for _, seed := range []string{"0", "1", "9223372036854775807", "-1", "9223372036854775808", " 1", "+1", "1e3", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, last string) {
		request := httptest.NewRequest(http.MethodGet, "/v1/requests/"+id+"/stream", nil)
		request.Header["Authorization"] = []string{"Bearer " + testToken}
		request.Header["Last-Event-Id"] = []string{last}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		switch recorder.Code {
		case http.StatusOK:
			after, _ := strconv.ParseInt(last, 10, 64)
			for events := relay.NewReader(recorder.Body, 0); ; after++ {
				event, err := events.Next()
				if err != nil || event.ID == 0 {
					break
				}
				assert.Equal(t, event.ID, after+1)
			}
		case http.StatusBadRequest, http.StatusNotFound:
			// The record expires during a long fuzzing run.
		default:
			t.Fatalf("%q: status %d", last, recorder.Code)
		}
	})
}

// FuzzContinuation guards against an engine's event that panics the daemon when the
// answer is migrated to another engine, and against an invalid request body for
// that engine.
func FuzzContinuation(f *testing.F) {
	f.Add([]byte(streamBody), []byte(`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`), []byte(`{"choices":[{"delta":{"content":"b"}}]}`))
	f.Add([]byte(streamBody), []byte(`{"choices":[{"delta":{"tool_calls":[{"index":3}]}}]}`), []byte(`{"choices":[{"index":-1}]}`))
	f.Add([]byte(`{"messages":null}`), []byte(`{"choices":null}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, body, first, second []byte) {
		if _, p := parseChat(body); p != nil {
			return
		}
		isComplete([][]byte{first, second})
		sameToken(first, second)
		sent, err := continuationBody(body, [][]byte{first, second})
		if err != nil {
			return
		}
		var request struct {
			Messages []json.RawMessage `json:"messages"`
			Prefix   int               `json:"rattantide_prefix_tokens"`
		}
		assert.NilError(t, json.Unmarshal(sent, &request))
		assert.Equal(t, request.Prefix, 2)
		assert.Assert(t, len(request.Messages) > 1)
	})
}
