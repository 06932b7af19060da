package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkBufferBytes is the size of a link's buffer for each direction of a connection.
const linkBufferBytes = 16 << 10

// linkState selects how a link forwards data. The zero value forwards it at once.
type linkState struct {
	// delay is added before each write, in each direction.
	delay time.Duration
	// holdRequests and holdAnswers hold data to the server or from it, including the
	// end of the stream, until the state changes. One of them simulates a one-way
	// partition, both together a silent connection.
	holdRequests, holdAnswers bool
}

// link is a TCP proxy on a loopback address in front of one server.
type link struct {
	disturbances disturbances

	listener net.Listener
	target   string

	mu       sync.Mutex
	state    linkState
	changed  chan struct{} // closed and replaced by setState
	conns    map[net.Conn]bool
	isClosed bool
}

// startLink starts a link to the address target. It is closed when the test ends.
func startLink(t testing.TB, target string) *link {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	var accepting sync.WaitGroup
	accepting.Go(l.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		l.close()
		accepting.Wait()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// accept proxies connections until the listener is closed, and waits for all of them.
func (l *link) accept() {
	var proxied sync.WaitGroup
	defer proxied.Wait()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		proxied.Go(func() { l.proxy(conn) })
	}
}

// proxy connects to the target and forwards data in both directions until both have
// ended. It resets the connection if the target cannot be reached.
func (l *link) proxy(client net.Conn) {
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		resetConn(client)
		return
	}
	if !l.addConns(client, server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(server, client, func(s linkState) bool { return s.holdRequests }) })
	directions.Go(func() { l.forward(client, server, func(s linkState) bool { return s.holdAnswers }) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		delete(l.conns, c)
		_ = c.Close()
	}
}

// addConns registers both connections of a proxied client for resets. If the link is
// closed, it closes them and returns false.
func (l *link) addConns(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.isClosed {
			_ = c.Close()
			continue
		}
		l.conns[c] = true
	}
	return !l.isClosed
}

// forward copies data in one direction until it ends. The end of the stream is
// forwarded as such, any read or write error as a reset of the other connection.
func (l *link) forward(to, from net.Conn, isHeld func(linkState) bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.waitWhileHeld(isHeld)
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

// waitWhileHeld blocks while isHeld reports true for the link's state, then sleeps for the
// state's delay. It returns at once when the link is closed.
func (l *link) waitWhileHeld(isHeld func(linkState) bool) {
	for {
		l.mu.Lock()
		state, changed, closed := l.state, l.changed, l.isClosed
		l.mu.Unlock()
		if closed || !isHeld(state) {
			if !closed {
				time.Sleep(state.delay)
			}
			return
		}
		<-changed
	}
}

// setState changes the state and wakes up all waiting directions.
func (l *link) setState(s linkState) {
	l.disturbances.record()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// resetConns resets all open connections to clients and to the target.
func (l *link) resetConns() {
	l.disturbances.record()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c)
	}
}

// close closes all connections and releases held data. Later connections are closed at
// once.
func (l *link) close() {
	l.mu.Lock()
	l.isClosed = true
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.setState(linkState{})
}

// resetConn closes a connection with a TCP reset instead of an orderly shutdown.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
