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
)

const (
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept when the upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from what the upstream says, for the way of the
	// next request.
	idleMargin = 300 * time.Millisecond
	// longPast is a deadline that ends pending reads and writes at once.
	longPast = 1
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// keepUntil is when an idle connection must not be used any more.
	keepUntil time.Time
	used      bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// interrupt ends pending reads and writes.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(longPast, 0)) }

// clean reports whether an idle connection is open and carries no surplus bytes.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
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

// keep notes until when the connection may be kept, by the answer's headers.
func (c *conn) keep(h http.Header, now time.Time) {
	idle := defaultIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 && seconds < 3600 {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	c.keepUntil = now.Add(idle)
}
