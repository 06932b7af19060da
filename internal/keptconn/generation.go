package keptconn

import (
	"net/http"

	"rattantide/internal/responsehead"
)

// generation is a set of connections that are given up together.
type generation struct {
	transport *responsehead.Transport
	// silent is closed once a later generation answered in time, after this one did not.
	silent chan struct{}
}

func newGeneration(newTransport func() *http.Transport) *generation {
	return &generation{transport: responsehead.NewTransport(newTransport()), silent: make(chan struct{})}
}
