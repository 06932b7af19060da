package handoff

import "rattantide/internal/membership"

// Members provides the daemons of the membership table.
type Members interface {
	// Daemons returns the live daemons.
	Daemons() []membership.Daemon
	// AllDaemons returns the daemons including those that are about to be
	// removed.
	AllDaemons() []membership.Daemon
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
