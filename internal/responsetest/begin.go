package responsetest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readLimit bounds the time in which a response must end.
const readLimit = 10 * time.Second

// Dial opens a connection that is closed when the test ends.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(readLimit)))
	return c
}

// Begin sends a request and returns the response as soon as its body has begun.
func Begin(t testing.TB, c net.Conn, request string) *http.Response {
	t.Helper()
	_, err := io.WriteString(c, request)
	assert.NilError(t, err)
	reader := bufio.NewReaderSize(c, 1<<10)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = reader.Peek(1)
	assert.NilError(t, err)
	return response
}

// ServeUnfinished answers the first request of each connection with the same bytes and keeps the
// connection open. It returns the address that it listens on.
func ServeUnfinished(t testing.TB, text string) (address string) {
	t.Helper()
	return Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		HoldOpen(t, c)
	})
}

// HoldOpen returns when the peer has closed a connection or the test ends.
func HoldOpen(t testing.TB, c net.Conn) {
	stop := context.AfterFunc(t.Context(), func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	_, _ = io.Copy(io.Discard, c)
}
