package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer whose head, or the mark of its end, was cut and that reaches its
// caller as a success with an empty or short body that looks whole.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const (
		start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
		early = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	)
	for name, c := range map[string]struct{ path, whole string }{
		"length":              {"/order/1", start + "Content-Length: 12\r\n\r\n"},
		"chunks":              {"/order/1", start + "Transfer-Encoding: chunked\r\n\r\n" + chunk("a whole body") + chunk("")},
		"stream":              {"/stream/1", start + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent) + chunk("")},
		"no frame":            {"/order/1", start + "Connection: close\r\n\r\n"},
		"no frame, stream":    {"/stream/1", start + "Connection: close\r\n\r\n"},
		"interim, then final": {"/order/1", early + start + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for length := 1; length < len(c.whole); length++ {
				cut := c.whole[:length]
				f.useRaw(rawUpstream{exact: cut})
				answer := f.callRaw(http.MethodPost, c.path, "HTTP/1.1")
				if answer.reset {
					continue
				}
				response, body, err := answer.response(t, http.MethodPost)
				assert.NilError(t, err)
				assert.Check(t, response.StatusCode == http.StatusBadGateway, "%q gave %d, %q", cut, response.StatusCode, body)
			}
		})
	}
}
