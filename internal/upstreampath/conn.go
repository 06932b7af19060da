package upstreampath

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection, like the method DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WatchDial returns a DialFunc that opens connections with dial, and from which the Monitor
// learns: whether connecting succeeds, and what is sent and received.
func (m *Monitor) WatchDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil || ctx.Err() == nil {
			m.RecordConnect(address, err)
		}
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c, monitor: m, address: address}, nil
	}
}

// watchedConn is a connection to an upstream. What is written begins a call, which ends with
// the next bytes that are received, or with the connection.
type watchedConn struct {
	net.Conn
	monitor *Monitor
	address string

	mu   sync.Mutex
	call *Call
}

// NetConn returns the connection that is watched.
func (c *watchedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.call == nil {
		c.call = c.monitor.Start(c.address, nil)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.monitor.hearFrom(c.address)
		c.end()
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.end()
	return c.Conn.Close()
}

func (c *watchedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call.End()
	c.call = nil
}
