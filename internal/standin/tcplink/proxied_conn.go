package tcplink

import (
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

// bufferBytes is the size of a link's buffer for each direction of a connection.
const bufferBytes = 16 << 10

// proxiedConn is a connection of a client with the one to the server.
type proxiedConn struct {
	client, server net.Conn
	// isSilent is guarded by Link.mu.
	isSilent bool
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (c *proxiedConn) reset() {
	resetConn(c.client)
	resetConn(c.server)
}

// forward copies data in one direction until it ends. The end of the stream is
// forwarded as such, any read or write error as a reset of the other connection.
func (l *Link) forward(c *proxiedConn, to, from net.Conn, isHeld func(State) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		l.waitWhileHeld(c, isHeld)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

// waitWhileHeld blocks while the connection is silent or isHeld reports true for the link's
// state, then sleeps for the state's delay. It returns at once when the link is closed.
func (l *Link) waitWhileHeld(c *proxiedConn, isHeld func(State) bool) {
	for {
		l.mu.Lock()
		state, changed, closed, silent := l.state, l.changed, l.isClosed, c.isSilent
		l.mu.Unlock()
		if closed {
			return
		}
		if !silent && !isHeld(state) {
			time.Sleep(state.Delay)
			return
		}
		<-changed
	}
}

// resetConn closes a connection with a TCP reset instead of an orderly shutdown.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
