package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Serve calls handle for each connection and closes it afterwards. It returns the address
// that it listens on.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// ServeText answers the first request of each connection with the same bytes and closes the
// connection. It returns the address that it listens on.
func ServeText(t testing.TB, text string) (address string) {
	t.Helper()
	return Serve(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
	})
}
