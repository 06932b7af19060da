package gateway

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests of different callers or with different content that are taken for
// the same one, and against the same request that is not recognized when it comes again.
func TestRequestKey(t *testing.T) {
	key := func(workspace, method, target, body string) uint64 {
		return requestKey(workspace, httptest.NewRequest(method, target, nil), []byte(body))
	}
	same := key("w", "GET", "http://h/a/b?c=1", "body")
	assert.Equal(t, key("w", "GET", "http://h/a/b?c=1", "body"), same)
	for name, other := range map[string]uint64{
		"workspace": key("v", "GET", "http://h/a/b?c=1", "body"),
		"method":    key("w", "PUT", "http://h/a/b?c=1", "body"),
		"host":      key("w", "GET", "http://g/a/b?c=1", "body"),
		"path":      key("w", "GET", "http://h/a/c?c=1", "body"),
		"query":     key("w", "GET", "http://h/a/b?c=2", "body"),
		"body":      key("w", "GET", "http://h/a/b?c=1", "bodx"),
		"border":    key("w", "GET", "http://h/a/b?c=1b", "ody"),
	} {
		assert.Assert(t, other != same, name)
	}
}

// BenchmarkRequestKey measures the key of a request with a body of 20 kB.
func BenchmarkRequestKey(b *testing.B) {
	r := httptest.NewRequest("POST", "http://h/a/b", nil)
	body := make([]byte, 20<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		requestKey("w", r, body)
	}
}
