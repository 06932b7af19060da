package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// ServeReset answers the first request of each connection with the same bytes before it has
// read the body, and resets the connection. It returns the address that it listens on.
func ServeReset(t testing.TB, text string) (address string) {
	t.Helper()
	return Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		ResetOnceReceived(c)
	})
}

// ResetOnceReceived resets a connection when the peer's kernel has all that was written. The
// caller must close the connection next.
func ResetOnceReceived(c net.Conn) {
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
