package handoff

import "rattantide/internal/membership"

// Members is what this package needs of the membership table.
type Members interface {
	// Daemons returns the daemons that are not known to be gone.
	Daemons() []membership.Daemon
	// AllDaemons also returns those that are about to be forgotten.
	AllDaemons() []membership.Daemon
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
