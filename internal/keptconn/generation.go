package keptconn

import "net/http"

// generation is a set of connections that are given up together.
type generation struct {
	transport *http.Transport
	// silent is closed once a later generation answered in time, after this one did not.
	silent chan struct{}
}

func newGeneration(newTransport func() *http.Transport) *generation {
	return &generation{transport: newTransport(), silent: make(chan struct{})}
}
