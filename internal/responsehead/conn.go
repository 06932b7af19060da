package responsehead

import (
	"context"
	"net"
)

// Conn is a connection to a server whose responses are checked.
type Conn struct {
	net.Conn
	*Reader
}

// NewConn returns a connection that does not expect a head.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, Reader: NewReader(resetReader{conn: c})} }

// NetConn returns the connection without the checks.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// dialFunc opens a connection, like the method DialContext of net.Dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked opens a connection with dial and returns it as a *Conn.
func (dial dialFunc) checked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}
