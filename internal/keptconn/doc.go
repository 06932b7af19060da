// Package keptconn makes HTTP calls to one server over kept connections, any of which may
// have fallen silent: still open, but without the peer. Once a call on a kept connection is
// not answered in time, all kept connections are given up, and a read is sent once more on
// a new connection. A server that is slow or down receives no more calls for that: reads
// are only repeated while new connections are answered in time.
package keptconn
