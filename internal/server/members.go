package server

import "rattantide/internal/membership"

// Members is the view of the membership table that the server needs. It is safe
// for concurrent use.
type Members interface {
	// Daemons returns the daemons that are not known to have left.
	Daemons() []membership.Daemon
	Upstream(name string) (membership.Upstream, bool)
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
