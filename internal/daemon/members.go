package daemon

import (
	"rattantide/internal/membership"
)

// members adds this daemon to what the membership table knows of the others,
// for the answers that name daemons to callers.
type members struct {
	*membership.Table
}

// Daemons returns all live daemons, this one included unless it is leaving.
func (m members) Daemons() []membership.Daemon {
	others := m.Table.Daemons()
	out := make([]membership.Daemon, 0, len(others)+1)
	if self := m.Self(); !self.Leaving {
		out = append(out, self)
	}
	return append(out, others...)
}
