package handoff

import "rattantide/internal/membership"

// Members provides the daemons of the membership table.
type Members interface {
	// Daemons returns the other daemons that are live and not leaving.
	Daemons() []membership.Daemon
	// AllDaemons returns all other known daemons, including those that are
	// leaving.
	AllDaemons() []membership.Daemon
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
