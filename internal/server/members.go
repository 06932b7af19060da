package server

import "rattantide/internal/membership"

// Members is what the server needs of the membership table.
type Members interface {
	// Daemons returns the daemons that are not known to be gone.
	Daemons() []membership.Daemon
	Upstream(name string) (membership.Upstream, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
