package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
)

// setLimits applies a configuration with the given limits.
func (f *fixture) setLimits(l fleetconfig.Limits) {
	config, _ := f.holder.Current()
	next := *config
	next.Version, next.Limits = config.Version+1, l
	next.Index()
	f.holder.Apply(&next, f.bootNow())
}

// Guards against limits of the configuration that are not enforced, against a rejected request
// that reaches an upstream, and against a request of the largest size that is rejected.
func TestLimitsOfConfiguration(t *testing.T) {
	f := newFixture(t)
	f.setLimits(fleetconfig.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100})
	for _, c := range []struct {
		body, header string
		want         int
	}{
		{strings.Repeat("x", 100), "", http.StatusOK},
		{strings.Repeat("x", 101), "", http.StatusRequestEntityTooLarge},
		{"x", strings.Repeat("x", 500), http.StatusOK},
		{"x", strings.Repeat("x", 1000), http.StatusRequestHeaderFieldsTooLarge},
	} {
		status, _, _, err := f.call("/order/1", c.body, "X-Long", c.header)
		assert.NilError(t, err)
		assert.Equal(t, status, c.want)
	}
	assert.Equal(t, f.runCount(), 2)
}

// Guards against a body that stalls and is waited for, that reaches an upstream, or whose
// rejection does not promise that the request did not run; and against the same where the body
// was rejected unread and the server waits for it.
func TestStalledBodyIsRejected(t *testing.T) {
	f := newFixture(t)
	for key, want := range map[string]int{"key": http.StatusRequestTimeout, "other": http.StatusUnauthorized} {
		conn, err := net.Dial("tcp4", f.address)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 500\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbod", key)
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want)
		assert.NilError(t, response.Body.Close())
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil, "the connection stays open")
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, f.runCount(), 0)
}
