package server

import "rattantide/internal/membership"

// Members is the view of the membership table that the server needs. It is safe
// for concurrent use.
type Members interface {
	// Daemons returns the live daemons that are not leaving, including this one.
	Daemons() []membership.Daemon
	Upstream(name string) (membership.Upstream, bool)
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
