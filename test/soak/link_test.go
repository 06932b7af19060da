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

// linkBuffer is how many bytes a link carries at once, in each direction.
const linkBuffer = 16 << 10

// linkState is what a link does to its connections. The zero value passes all.
type linkState struct {
	// delay is added to each piece of data, in each direction.
	delay time.Duration
	// holdRequests and holdAnswers keep back what goes to the server or comes from
	// it, closings included, until the state changes: a cut one way, or, with both,
	// silence.
	holdRequests, holdAnswers bool
}

// link is a loopback proxy in front of one server.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

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

func (l *link) accept() {
	var carried sync.WaitGroup
	defer carried.Wait()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		carried.Go(func() { l.carry(conn) })
	}
}

// carry passes the data of one connection.
func (l *link) carry(near net.Conn) {
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		reset(near)
		return
	}
	if !l.register(near, far) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.pump(far, near, func(s linkState) bool { return s.holdRequests }) })
	directions.Go(func() { l.pump(near, far, func(s linkState) bool { return s.holdAnswers }) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []net.Conn{near, far} {
		delete(l.conns, c)
		_ = c.Close()
	}
}

// register keeps a connection's ends for resets. It closes them and returns false
// after the link's end.
func (l *link) register(ends ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range ends {
		if l.closed {
			_ = c.Close()
			continue
		}
		l.conns[c] = true
	}
	return !l.closed
}

// pump passes one direction until it ends. A clean end is passed on as such, any
// other as a reset.
func (l *link) pump(to, from net.Conn, held func(linkState) bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		l.wait(held)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// wait returns when the link's state lets data pass.
func (l *link) wait(held func(linkState) bool) {
	for {
		l.mu.Lock()
		state, changed, closed := l.state, l.changed, l.closed
		l.mu.Unlock()
		if closed || !held(state) {
			if !closed {
				time.Sleep(state.delay)
			}
			return
		}
		<-changed
	}
}

func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset resets all open connections at both ends.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.set(linkState{})
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
