package gateway

import "rattantide/internal/upstreamconn"

// Helper is another daemon that may serve a request in place of this one.
type Helper struct {
	// Name is the daemon's name, and Address where it serves forwarded requests.
	Name    string
	Address string
}

// Forwarder forwards requests to daemons that reach the upstreams.
type Forwarder struct {
	// Name is the name of this daemon.
	Name string
	// Choose returns a daemon that reaches the upstreams of a service, other than the
	// excluded ones, or false if there is none. done must be called when the request has ended.
	Choose func(service string, excluded []string) (h Helper, done func(), ok bool)
	// Conns holds the connections to the other daemons.
	Conns *upstreamconn.Pools
}
