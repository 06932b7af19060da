package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// serveConns calls handle for each connection and closes it afterwards. It returns the
// address that it listens on.
func serveConns(t *testing.T, handle func(net.Conn)) string {
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

// rawUpstream answers every request with the same bytes and closes the connection.
type rawUpstream struct {
	// head is the status line and the headers, without the empty line; the identifier of
	// the attempt and a signature are added.
	head string
	body string
	// exact is sent in place of all these bytes unless it is empty.
	exact string
	// reset makes it reset the connection instead of closing it.
	reset bool
}

// serve starts the upstream and returns its address.
func (u rawUpstream) serve(t *testing.T) string {
	return serveConns(t, u.answer)
}

func (u rawUpstream) answer(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	text := u.exact
	if text == "" {
		text = u.head + "X-Attempt-Id: " + request.Header.Get("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\n" + u.body
	}
	_, _ = io.WriteString(c, text)
	if u.reset {
		u.resetOnceRead(c)
	}
}

// resetOnceRead resets a connection when the peer's kernel has all that was written.
func (u rawUpstream) resetOnceRead(c net.Conn) {
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	for unacknowledged := 1; unacknowledged > 0; runtime.Gosched() {
		controlErr := raw.Control(func(fd uintptr) {
			unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		})
		if controlErr != nil || err != nil {
			return
		}
	}
	_ = tcp.SetLinger(0)
}
