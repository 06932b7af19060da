package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a status that promises that a request did not run, passed on from an
// upstream that ran it.
func TestStatusThatPromisesTooMuchIsReplaced(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/order/1", "/stream/1", "/lookup/1"} {
			t.Run(fmt.Sprintf("%d %s", status, path), func(t *testing.T) {
				f := newFixture(t)
				f.useRaw(rawUpstream{head: fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status, http.StatusText(status))})
				got, _, h, err := f.call(path, "b")
				assert.NilError(t, err)
				assert.Equal(t, got, http.StatusBadGateway)
				assert.Equal(t, h.Get("X-Response-Seal"), "")
			})
		}
	}
}
