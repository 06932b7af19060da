package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

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
// another one could serve it.
func TestInvalidHeadIsRetriedElsewhere(t *testing.T) {
	for name, r := range responsetest.Invalid(firstEvent) {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(rawUpstream{exact: r.Text(ownFields)}, rawUpstream{head: headWithLength(4), body: "body"})
			status, body, _, err := f.call("/lookup/1", "b")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "body")
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
