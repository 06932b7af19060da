package tcplink

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// Link is a TCP proxy on a loopback address in front of one server. It is safe for
// concurrent use.
type Link struct {
	listener net.Listener
	target   string
	// done ends when accept has returned and all connections are closed.
	done sync.WaitGroup

	mu       sync.Mutex
	state    State
	changed  chan struct{} // closed and replaced by SetState and SilenceOpen
	conns    map[*proxiedConn]bool
	isClosed bool
}

// Start starts a link to the address target, host and port. The caller must call Close.
func Start(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen for a link")
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), conns: map[*proxiedConn]bool{}}
	l.done.Go(l.accept)
	return l, nil
}

// Address returns the host and port at which clients reach the server.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetState changes the state and wakes up all waiting directions.
func (l *Link) SetState(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.wake()
}

// SilenceOpen makes all open connections silent for good: they stay open, but nothing is
// forwarded on them any more, in either direction. New connections are not affected.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.isSilent = true
	}
	l.wake()
}

// ResetConns resets all open connections to clients and to the server.
func (l *Link) ResetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// OpenCount returns the number of open connections of clients.
func (l *Link) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes all connections, releases held data, and waits until all goroutines of the
// link have ended. Later connections are refused.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.isClosed = true
	for c := range l.conns {
		c.close()
	}
	l.wake()
	l.mu.Unlock()
	l.done.Wait()
}

// wake wakes up all waiting directions. l.mu must be held.
func (l *Link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// accept proxies connections until the listener is closed, and waits for all of them.
func (l *Link) accept() {
	var proxied sync.WaitGroup
	defer proxied.Wait()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		proxied.Go(func() { l.proxy(client) })
	}
}

// proxy connects to the server and forwards data in both directions until both have
// ended. It resets the connection if the server cannot be reached.
func (l *Link) proxy(client net.Conn) {
	l.mu.Lock()
	refuses := l.state.RefuseNew
	l.mu.Unlock()
	if refuses {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		resetConn(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	if !l.add(c) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(c, server, client, func(s State) bool { return s.HoldRequests }) })
	directions.Go(func() { l.forward(c, client, server, func(s State) bool { return s.HoldAnswers }) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.close()
}

// add registers a connection. If the link is closed, it closes the connection and returns
// false.
func (l *Link) add(c *proxiedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		c.close()
		return false
	}
	l.conns[c] = true
	return true
}
