package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer that broke off after its beginning had reached the caller and
// that is filled up with the answer of a second upstream.
func TestLargeAnswerIsOfOneUpstream(t *testing.T) {
	const length = 200 << 10
	first, second := strings.Repeat("a", length), strings.Repeat("b", length)
	for name, upstream := range map[string]rawUpstream{
		"length":     {head: headWithLength(length), body: first[:length/2]},
		"chunks":     {head: headChunked, body: chunk(first[:length/2])},
		"connection": {head: headUntilClose, body: first[:length/2], reset: true},
	} {
		for _, path := range []string{"/lookup/1", "/resume/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				upstream.head = strings.Replace(upstream.head, "200 OK", "404 Not Found", 1)
				f.useRaw(upstream, rawUpstream{head: headWithLength(length), body: second})
				answer := f.callRaw(http.MethodPost, path, "HTTP/1.1")
				assert.Assert(t, answer.reset)
				assert.Assert(t, !strings.Contains(string(answer.bytes), "bb"), "the answers of two upstreams are joined")
			})
		}
	}
}
