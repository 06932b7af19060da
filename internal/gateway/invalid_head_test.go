package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/gateway"
	"rattantide/internal/responsetest"
)

// ownFields mark a response as that to the request of callRaw and call.
const ownFields = "X-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"

// Guards against a response with an invalid head whose status, fields or body reach a caller.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, r := range responsetest.Invalid(firstEvent) {
		for _, path := range []string{"/order/1", "/stream/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				f.useRaw(rawUpstream{exact: r.Text(ownFields)})
				answer := f.callRaw(http.MethodPost, path, "HTTP/1.1")
				assert.Assert(t, !answer.reset, "%q", answer.bytes)
				response, body, err := answer.response(t, http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%q", answer.bytes)
				assert.Equal(t, body, "")
				assert.Assert(t, !strings.Contains(string(answer.bytes), "Trouble"), "%q", answer.bytes)
			})
		}
	}
}

// Guards against a request that fails with an upstream that sends invalid heads although
// another one could serve it, and against heads that count as a lost connection.
func TestInvalidHeadIsRetriedElsewhere(t *testing.T) {
	for name, r := range responsetest.Invalid(firstEvent) {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(rawUpstream{exact: r.Text(ownFields)}, rawUpstream{head: headWithLength(4), body: "body"})
			status, body, _, err := f.call("/lookup/1", "b")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "body")
			f.chooser.mu.Lock()
			defer f.chooser.mu.Unlock()
			assert.Equal(t, f.chooser.results[0].Status, dispatch.StatusError)
		})
	}
}

// Guards against a response of another daemon with an invalid head that reaches a caller, and
// against a request that fails although a second daemon helps.
func TestInvalidHeadOfHelperIsNoAnswer(t *testing.T) {
	for name, r := range responsetest.Invalid(firstEvent) {
		t.Run(name, func(t *testing.T) {
			invalid := gateway.Helper{Name: "invalid", Address: responsetest.ServeText(t, r.Text(ownFields))}
			sound := gateway.Helper{Name: "sound", Address: rawUpstream{head: headWithLength(4), body: "body"}.serve(t)}
			f := newLostFixture(t, invalid, sound)
			for path, want := range map[string]int{"/order/1": http.StatusBadGateway, "/lookup/1": http.StatusOK} {
				status, body, _, err := f.call(path, "b")
				assert.NilError(t, err)
				assert.Equal(t, status, want, path)
				assert.Assert(t, body == "" || body == "body", "%q", body)
			}
		})
	}
}

// Guards against an unusual head that is taken for an invalid one.
func TestUnusualHeadIsRelayed(t *testing.T) {
	for name, r := range responsetest.Sound(firstEvent) {
		for _, path := range []string{"/order/1", "/stream/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				f.useRaw(rawUpstream{exact: r.Text(ownFields)})
				status, body, _, err := f.call(path, "b")
				assert.NilError(t, err)
				assert.Assert(t, status == http.StatusOK || status == 299, "status %d", status)
				assert.Equal(t, body, firstEvent)
			})
		}
	}
}

// Guards against requests that are blamed for upstreams that send invalid heads, and are kept
// from all upstreams then.
func TestInvalidHeadsAreNoLosses(t *testing.T) {
	f := newFixture(t)
	sound := f.chooser.upstreams
	invalid := rawUpstream{exact: "HTTP/1.1 000 Trouble\r\n" + ownFields + "\r\n"}
	f.useRaw(invalid, invalid)
	const parts = "5:10,bad:10,1:1"
	for i := range 8 {
		f.holder.Confirm(7, f.bootNow())
		status, _, _, err := f.call("/resume/1", fmt.Sprintf("body %d", i%2), "X-Prompt-Prefix", parts)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway, "request %d", i)
		f.advance(2500 * time.Millisecond)
	}
	f.chooser.upstreams = sound
	f.holder.Confirm(7, f.bootNow())
	status, _, _, err := f.call("/resume/1", "body 0", "X-Prompt-Prefix", parts)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}
