package fleetdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/callerbudget"
	"rattantide/internal/fleetconfig"
)

// callerFixture serves an empty answer to callers.
type callerFixture struct {
	t       *testing.T
	servers *callerServers
	holder  *fleetconfig.Holder
}

func newCallerFixture(t *testing.T, conns int64) *callerFixture {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &callerFixture{t: t, holder: fleetconfig.NewHolder()}
	f.servers = &callerServers{
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		config:  f.holder, listener: l, conns: callerbudget.New(conns),
	}
	done := make(chan error, 1)
	go func() { done <- f.servers.Serve() }()
	t.Cleanup(func() {
		assert.Check(t, f.servers.Close())
		assert.Check(t, <-done)
	})
	return f
}

func (f *callerFixture) dial() net.Conn {
	c, err := net.Dial("tcp4", f.servers.listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// isServed reports whether a request on a connection is answered.
func isServed(c net.Conn) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusNoContent
}

// isClosed waits until a connection is closed by the server.
func isClosed(t *testing.T, c net.Conn) {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	assert.Assert(t, err == nil || !asTimeout(err, &timeout), "the connection stays open")
}

func asTimeout(err error, target *net.Error) bool {
	e, ok := err.(net.Error) //nolint:errorlint // the error of a connection is not wrapped
	*target = e
	return ok && e.Timeout()
}

// Guards against idle and header times of the configuration that are not enforced, against
// connections that are closed although ordinary callers still reuse them, and against a change
// that ends the connections from before.
func TestTimesOfConfiguration(t *testing.T) {
	const idle = 2 * time.Second
	f := newCallerFixture(t, 100)
	before := f.dial()
	assert.Assert(t, isServed(before))
	f.holder.Apply(&fleetconfig.Config{Version: 1, Limits: fleetconfig.Limits{HeaderTimeout: time.Second, IdleTimeout: idle}}, time.Now())
	partial, reused, unused := f.dial(), f.dial(), f.dial()
	_, err := fmt.Fprint(partial, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	assert.Assert(t, isServed(reused) && isServed(unused))
	time.Sleep(idle * 4 / 5)
	assert.Assert(t, isServed(reused), "a connection was closed before the idle time")
	isClosed(t, partial)
	isClosed(t, unused)
	assert.Assert(t, isServed(before))
}

// Guards against silent connections that keep out others, and against connections that are
// never returned to the budget.
func TestSilentConnectionsLoseRoom(t *testing.T) {
	f := newCallerFixture(t, 4)
	served := f.dial()
	assert.Assert(t, isServed(served))
	silent := f.dial()
	time.Sleep(silentConnTime + 100*time.Millisecond)
	for range 10 {
		c := f.dial()
		assert.Assert(t, isServed(c))
		assert.NilError(t, c.Close())
		f.waitForConns(1)
	}
	kept := f.dial()
	assert.Assert(t, isServed(kept))
	isClosed(t, silent)
	assert.Assert(t, isServed(served))
}

func (f *callerFixture) waitForConns(limit int64) {
	for f.servers.conns.Stats().Held > limit {
		time.Sleep(time.Millisecond)
	}
}
