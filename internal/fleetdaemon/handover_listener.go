package fleetdaemon

import (
	"net"
	"sync"
)

// handoverListener is a net.Listener of connections that were accepted elsewhere.
type handoverListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandoverListener(address net.Addr) *handoverListener {
	return &handoverListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. It reports false if the listener is closed.
func (l *handoverListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handoverListener) Addr() net.Addr { return l.address }
