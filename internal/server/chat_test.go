package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const (
	streamBody    = `{"model":"brief","messages":[{"role":"user","content":"x"}],"seed":7,"stream":true}`
	nonStreamBody = `{"model":"brief","messages":[{"role":"user","content":"x"}],"seed":7}`
)

// streamText reads a stream to its end, checks that its events are numbered
// without gaps from first, and returns their text. done is false if the stream
// ended without [DONE].
func streamText(t *testing.T, body io.Reader, first int64) (text string, done bool) {
	t.Helper()
	stream := relay.NewReader(body, 0)
	for next := first; ; next++ {
		e, err := stream.Next()
		if err != nil {
			return text, false
		}
		if string(e.Data) == "[DONE]" {
			return text, true
		}
		assert.Equal(t, e.ID, next)
		var c chunk
		assert.NilError(t, json.Unmarshal(e.Data, &c))
		if content := c.Choices[0].Delta.Content; content != nil {
			text += *content
		}
	}
}

func wholeAnswer(t *testing.T, response *http.Response) *completion {
	t.Helper()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	answer := &completion{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(answer))
	return answer
}

func problemOf(t *testing.T, response *http.Response) *problem.Problem {
	t.Helper()
	p := &problem.Problem{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(p))
	return p
}

// TestFaultyStreams guards against answers with missing, repeated or mixed-up tokens
// after an engine's stream has failed. Each case is one kind of failure.
func TestFaultyStreams(t *testing.T) {
	tests := []struct {
		name string
		// first is the script of the first of two engines of the same version; n is
		// the number of the call.
		first func(n int, c *engineCall)
		// wantAfter and wantPrefix are the resume positions and prefix lengths of
		// the calls to the first engine, wantSecond the prefix lengths of the
		// calls to the second one.
		wantAfter, wantPrefix, wantSecond []int
		// shortTimeout shortens the timeout for the next event. The other cases do
		// not depend on it.
		shortTimeout bool
	}{
		{name: "no fault"},
		{name: "connection lost", first: func(n int, c *engineCall) {
			if n == 1 {
				c.events(1, 5)
				c.dropConnection()
			}
			c.sendRest()
		}, wantAfter: []int{0, 5}},
		{name: "connection stalled", first: func(n int, c *engineCall) {
			if n == 1 {
				c.events(1, 5)
				<-c.ctx.Done()
				return
			}
			c.sendRest()
		}, wantAfter: []int{0, 5}, shortTimeout: true},
		{name: "generation lost", first: func(n int, c *engineCall) {
			switch n {
			case 1:
				c.events(1, 5)
				c.dropConnection()
			case 2:
				c.answerUnknownRequest()
			default:
				c.sendRest()
			}
		}, wantAfter: []int{0, 5, 0}, wantPrefix: []int{0, 0, 5}},
		{name: "prefix refused", first: func(n int, c *engineCall) {
			switch {
			case n == 1:
				c.events(1, 5)
				c.dropConnection()
			case c.after > 0:
				c.answerUnknownRequest()
			case c.prefix > 0:
				c.refuse(http.StatusBadRequest)
			default:
				c.sendRest()
			}
		}, wantAfter: []int{0, 5, 0, 0}, wantPrefix: []int{0, 0, 5, 0}},
		{name: "duplicated and reordered", first: func(_ int, c *engineCall) {
			for _, i := range []int{1, 1, 3, 2, 2, 5, 6, 4, 3} {
				c.event(i)
			}
			c.events(7, answerSize+1)
			io.WriteString(c.w, "data: [DONE]\n\n")
		}, wantAfter: []int{0}},
		{name: "[DONE] event lost", first: func(_ int, c *engineCall) {
			c.events(1, answerSize+1)
			c.dropConnection()
		}, wantAfter: []int{0}},
		{name: "other engine", first: func(n int, c *engineCall) {
			if n == 1 {
				c.events(1, 5)
				c.dropConnection()
			}
			c.refuse(http.StatusInternalServerError)
		}, wantAfter: []int{0, 5}, wantSecond: []int{5}},
		{name: "draining", first: func(_ int, c *engineCall) {
			c.w.Header().Set("X-Draining", "true")
			c.refuse(http.StatusServiceUnavailable)
		}, wantAfter: []int{0}},
	}
	for _, test := range tests {
		for _, stream := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				pool := &fakePool{}
				first := newFakeEngine(t, "v1", test.first)
				second := newFakeEngine(t, "v1", nil)
				pool.add("first", "v1", first.URL)
				pool.add("second", "v1", second.URL)
				h := newHarness(t, pool, func(o *Options) {
					if test.shortTimeout {
						o.NextEventTimeout = 200 * time.Millisecond
					}
				})
				if stream {
					response := h.do(t, "POST", "/v1/chat/completions", streamBody)
					text, done := streamText(t, response.Body, 1)
					assert.Assert(t, done)
					assert.Equal(t, text, wholeText("v1", 7))
				} else {
					answer := wholeAnswer(t, h.do(t, "POST", "/v1/chat/completions", nonStreamBody))
					assert.Equal(t, *answer.Choices[0].Message.Content, wholeText("v1", 7))
					assert.Assert(t, strings.Contains(string(answer.Usage), "prompt_tokens"))
				}
				for i, c := range first.recordedCalls() {
					if test.shortTimeout && i >= len(test.wantAfter) {
						break
					}
					if test.wantAfter != nil {
						assert.Equal(t, c.after, test.wantAfter[i])
					}
					if test.wantPrefix != nil {
						assert.Equal(t, c.prefix, test.wantPrefix[i])
					}
					assert.Equal(t, c.attempt, i+1)
				}
				for i, want := range test.wantSecond {
					assert.Equal(t, second.recordedCalls()[i].prefix, want)
				}
			})
		}
	}
}

// TestVersionChangeRestartsAnswer guards against an answer that mixes the output of
// two versions although the caller has received nothing yet.
func TestVersionChangeRestartsAnswer(t *testing.T) {
	pool := &fakePool{}
	old := newFakeEngine(t, "v1", func(n int, c *engineCall) {
		if n == 1 {
			c.events(1, 5)
			c.dropConnection()
		}
		c.refuse(http.StatusInternalServerError)
	})
	pool.add("old", "v1", old.URL)
	pool.add("new", "v2", newFakeEngine(t, "v2", nil).URL)
	h := newHarness(t, pool, nil)
	answer := wholeAnswer(t, h.do(t, "POST", "/v1/chat/completions", nonStreamBody))
	assert.Equal(t, *answer.Choices[0].Message.Content, wholeText("v2", 7))
	assert.Equal(t, pool.requests[1].PinVersion, "v1")
}

// TestCallerResumesStream guards against a generation that stops when its caller
// disconnects, and against a resumption that repeats or skips events.
func TestCallerResumesStream(t *testing.T) {
	resume := make(chan struct{})
	engine := newFakeEngine(t, "v1", func(_ int, c *engineCall) {
		c.events(1, 5)
		<-resume
		c.after = 5
		c.sendRest()
	})
	pool := &fakePool{}
	pool.add("first", "v1", engine.URL)
	h := newHarness(t, pool, nil)
	response := h.do(t, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", "returns")
	stream := relay.NewReader(response.Body, 0)
	for range 3 {
		_, err := stream.Next()
		assert.NilError(t, err)
	}
	response.Body.Close()
	close(resume)
	response = h.do(t, "GET", "/v1/requests/returns/stream", "", "Last-Event-ID", "3")
	text, done := streamText(t, response.Body, 4)
	assert.Assert(t, done)
	assert.Equal(t, text, wholeText("v1", 7)[len(wholeText("v1", 7))-len(text):])
	answer := wholeAnswer(t, h.do(t, "GET", "/v1/requests/returns", ""))
	assert.Equal(t, *answer.Choices[0].Message.Content, wholeText("v1", 7))
	assert.Equal(t, len(engine.recordedCalls()), 1)

	other := h.do(t, "GET", "/v1/requests/returns", "", "Authorization", "Bearer "+otherToken)
	assert.Equal(t, problemOf(t, other).Code, problem.CodeNotFound)
	again := h.do(t, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", "returns")
	refusal := problemOf(t, again)
	assert.Equal(t, refusal.Code, problem.CodeDuplicateRequest)
	assert.Equal(t, refusal.Execution, problem.ExecutionUnknown, "the request with this identifier did run")
}

// TestAbandonedRequestIsCancelled guards against generations that continue for
// callers that never resume.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	engine := newFakeEngine(t, "v1", func(_ int, c *engineCall) {
		c.events(1, 2)
		<-c.ctx.Done()
	})
	pool := &fakePool{}
	pool.add("first", "v1", engine.URL)
	h := newHarness(t, pool, func(o *Options) { o.AbandonGrace = 10 * time.Millisecond })
	response := h.do(t, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", "gone")
	_, err := relay.NewReader(response.Body, 0).Next()
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, <-engine.canceled, "/v1/requests/gone")
	<-h.journal.Get("gone").Done()
	assert.Equal(t, h.journal.Get("gone").Status().Outcome, journal.OutcomeFailed)
	assert.Equal(t, pool.results[0].Status, dispatch.StatusCanceled)
}

// TestRefusals guards against refusals without a problem document, and against
// refusals that are not marked as not run.
func TestRefusals(t *testing.T) {
	pool := &fakePool{}
	pool.add("down", "v1", "127.0.0.1:1")
	h := newHarness(t, pool, func(o *Options) { o.MaxBodyBytes = 1 << 10 })
	chat := func(body string, header ...string) *http.Response {
		return h.do(t, "POST", "/v1/chat/completions", body, header...)
	}
	for code, response := range map[problem.Code]*http.Response{
		problem.CodeUnauthorized: chat(nonStreamBody, "Authorization", "Bearer wrong"),
		problem.CodeForbidden:    chat(nonStreamBody, "Authorization", "Bearer "+otherToken),
		problem.CodeNoRoute:      chat(`{"model":"none","messages":[{}]}`),
		problem.CodeBadRequest:   chat(`{"model":1}`),
		problem.CodeTooLarge:     chat(strings.Repeat(" ", 2<<10)),
		problem.CodeNoUpstream:   chat(nonStreamBody, "X-Request-Id", "again"),
	} {
		p := problemOf(t, response)
		assert.Equal(t, p.Code, code)
		assert.Equal(t, p.Execution, problem.ExecutionNotRun)
		assert.Equal(t, response.StatusCode, p.Status)
	}
	// A request that was not run may be sent again under its identifier, and its
	// body may be of unknown length.
	pool.add("up", "v1", newFakeEngine(t, "v1", nil).URL)
	for code, body := range map[problem.Code]string{"": nonStreamBody, problem.CodeTooLarge: strings.Repeat(" ", 2<<10)} {
		request, err := http.NewRequest("POST", h.http.URL+"/v1/chat/completions", io.MultiReader(strings.NewReader(body)))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testToken)
		request.Header.Set("X-Request-Id", "again")
		response, err := h.http.Client().Do(request)
		assert.NilError(t, err)
		assert.Equal(t, problemOf(t, response).Code, code)
		response.Body.Close()
	}
	h.BeginDrain()
	var refused leavingProblem
	assert.NilError(t, json.NewDecoder(chat(nonStreamBody).Body).Decode(&refused))
	assert.Equal(t, refused.Code, problem.CodeLeaving)
	assert.Equal(t, len(refused.Entries), 1)
	assert.Equal(t, refused.Entries[0].Address, "other:1")
	assert.NilError(t, h.WaitIdle(t.Context()))
}

// TestLostAnswerIsUnknown guards against a failure after dispatch that is
// reported as not run.
func TestLostAnswerIsUnknown(t *testing.T) {
	pool := &fakePool{}
	pool.add("first", "v1", newFakeEngine(t, "v1", func(_ int, c *engineCall) { c.dropConnection() }).URL)
	h := newHarness(t, pool, nil)
	p := problemOf(t, h.do(t, "POST", "/v1/chat/completions", nonStreamBody))
	assert.Equal(t, p.Execution, problem.ExecutionUnknown)
}
