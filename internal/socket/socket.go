// Package socket finds the operating system's connection behind a net.Conn.
package socket

import "net"

// Of returns the connection that others, such as those of TLS, are built on.
func Of(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
