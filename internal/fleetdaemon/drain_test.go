package fleetdaemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that come late in the grace period of a planned stop, on connections
// that were open before, and are passed on and cut at its end without an answer; and against
// one that came in time and is cut without an answer.
func TestLateRequestsInGraceAreAnswered(t *testing.T) {
	f := startPlainFleet(t, 1, 1)
	r := f.runners[0]
	r.Events, r.EventInterval = 100, 200*time.Millisecond
	f.store.Set("config", "main", map[string]any{
		"version": 2,
		"routes": []any{
			map[string]any{"name": "slow", "host": "h", "pathPrefix": "/slow/", "kind": "non_idempotent", "timeoutMs": 15000, "targetLatencyMs": 9000, "service": "app", "maxAttempts": 1},
			map[string]any{"name": "quick", "host": "h", "pathPrefix": "/quick/", "kind": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 4000, "service": "app", "maxAttempts": 1},
		},
		"services": []any{map[string]any{"name": "app", "maxConns": 100}},
	})
	f.waitFor("the configuration", func() bool {
		config, _ := f.daemons[0].holder.Current()
		return config.Version == 2
	})
	early, late, slowBody, quickBody := f.open(), f.open(), f.open(), f.open()
	stoppedAt := time.Now()
	f.stops[0]()
	f.waitFor("the drain", f.daemons[0].draining.Load)
	early.sendAll("/slow/early")
	slowBody.sendHead("/slow/body")
	quickBody.sendHead("/quick/body")
	accepted := time.Now().Add(3 * time.Second)
	time.Sleep(time.Until(accepted))
	late.sendAll("/slow/late")
	slowBody.sendBody()
	quickBody.sendBody()
	assert.Equal(t, slowBody.status(), http.StatusServiceUnavailable)
	// The server does not read a request whose head comes after its shutdown has begun.
	assert.Equal(t, late.status(), 0)
	assert.Check(t, time.Since(accepted) < time.Second, "refused after %s", time.Since(accepted))
	// Its time limit ends before the grace period, so it can be passed on.
	assert.Equal(t, quickBody.status(), http.StatusGatewayTimeout)
	assert.Equal(t, early.status(), http.StatusBadGateway)
	assert.Check(t, time.Since(stoppedAt) < f.daemons[0].settings.Bounds.Grace)
	for _, a := range r.Arrivals() {
		assert.Check(t, a.AttemptID != "/slow/late" && a.AttemptID != "/slow/body", "%s was passed on", a.AttemptID)
	}
}

// lateConn is a connection of a caller that was opened before the daemon drains.
type lateConn struct {
	t    *testing.T
	conn net.Conn
}

// open connects to the first daemon.
func (f *plainFleet) open() *lateConn {
	conn, err := net.Dial("tcp", f.daemons[0].settings.CallerAddress)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &lateConn{t: f.t.(*testing.T), conn: conn}
}

// sendHead sends the head of a request with the path as its identifier, and a body of 4 bytes
// to follow.
func (c *lateConn) sendHead(path string) {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\n", path, path)
	assert.NilError(c.t, err)
}

func (c *lateConn) sendBody() {
	_, err := c.conn.Write([]byte("body"))
	assert.NilError(c.t, err)
}

func (c *lateConn) sendAll(path string) {
	c.sendHead(path)
	c.sendBody()
}

// status returns the status of the answer, or 0 if the connection ends without one.
func (c *lateConn) status() int {
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
