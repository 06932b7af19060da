package responsehead

import (
	"io"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"rattantide/internal/socket"
)

// resetReader reads from a connection. A reset is returned as an error also after a write has
// returned it: the operating system tells of it once, and a later read finds an ordinary end.
type resetReader struct {
	conn net.Conn
}

// Read implements io.Reader.
func (r resetReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if errors.Is(err, io.EOF) && wasReset(r.conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(), Err: unix.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether a connection that has ended was reset, or closed on this side: its
// end is not one that the peer has sent then. Other connections than those of TCP are not reset.
func wasReset(c net.Conn) bool {
	conn, ok := socket.Of(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr == nil {
			state = info.State
		}
	})
	return err != nil || state == unix.BPF_TCP_CLOSE
}
