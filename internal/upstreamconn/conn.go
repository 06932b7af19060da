package upstreamconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rattantide/internal/responsehead"
)

const (
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long a connection may be idle if the upstream does
	// not state its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the upstream states, to
	// allow for the transit time of the next request.
	idleMargin = 300 * time.Millisecond
	// expiredDeadline is a deadline in the past, in Unix seconds, that ends pending
	// reads and writes at once.
	expiredDeadline = 1
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*responsehead.Conn
	reader *bufio.Reader
	// reused reports whether the connection has carried an earlier request.
	reused bool
	// reusableUntil is the time from which the idle connection must not be reused.
	reusableUntil time.Time
}

func newConn(c net.Conn) *conn {
	checked := responsehead.NewConn(c)
	return &conn{Conn: checked, reader: bufio.NewReaderSize(checked, readBufferBytes)}
}

// interrupt makes pending and later reads and writes fail.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(expiredDeadline, 0)) }

// isClean reports whether an idle connection is open and has no surplus bytes.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EWOULDBLOCK || err == unix.EINTR
		return true
	})
	return err == nil && open
}

// setIdleTimeout sets reusableUntil from the headers of a response.
func (c *conn) setIdleTimeout(h http.Header, now time.Time) {
	idle := defaultIdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 && seconds < 3600 {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	c.reusableUntil = now.Add(idle)
}
