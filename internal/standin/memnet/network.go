package memnet

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// Network connects clients with handlers by address. It is safe for concurrent
// use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	dialCount atomic.Int64
}

// New returns an empty Network.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Serve serves handler at address until the returned function is called. That
// function closes all connections and waits for their goroutines, because a
// synctest bubble must not end while one of them is running.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	l := &listener{address: addr(address), connections: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	var openConns sync.WaitGroup
	server := &http.Server{Handler: handler, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			openConns.Add(1)
		case http.StateClosed, http.StateHijacked:
			openConns.Done()
		}
	}}
	serveDone := make(chan struct{})
	go func() {
		defer close(serveDone)
		_ = server.Serve(l)
	}()
	return func() {
		n.mu.Lock()
		if n.listeners[address] == l {
			delete(n.listeners, address)
		}
		n.mu.Unlock()
		_ = server.Close()
		<-serveDone
		openConns.Wait()
	}
}

// Client returns an HTTP client that opens its connections in the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64}}
}

// Dial connects to the handler at an address. Each connection has a different
// remote address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: errors.New("connection refused")}
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := net.Pipe()
	clientAddr := addr("client:" + strconv.FormatInt(n.dialCount.Add(1), 10))
	select {
	case l.connections <- conn{Conn: serverEnd, remote: clientAddr}:
		return clientEnd, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

type conn struct {
	net.Conn
	remote addr
}

func (c conn) RemoteAddr() net.Addr { return c.remote }

type listener struct {
	address     addr
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
