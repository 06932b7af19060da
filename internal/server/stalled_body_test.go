package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that waits forever for the rest of a body that it has rejected
// unread.
func TestStalledBodies(t *testing.T) {
	h := newHarness(t, &fakePool{}, nil)
	for token, path := range map[string]string{"wrong": "/v1/chat/completions", "none": "/nowhere/1"} {
		conn, err := net.Dial("tcp4", h.http.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 10000\r\n\r\nbod", path, token)
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
		_ = problemOf(t, response)
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil, "the connection stays open")
		assert.NilError(t, conn.Close())
	}
}
