package daemon

import (
	"rattantide/internal/membership"
)

// membersWithSelf adds this daemon to the daemons of the membership table, for
// responses that name daemons to callers.
type membersWithSelf struct {
	*membership.Table
}

// Daemons returns all live daemons, including this one unless it is leaving.
func (m membersWithSelf) Daemons() []membership.Daemon {
	peers := m.Table.Daemons()
	out := make([]membership.Daemon, 0, len(peers)+1)
	if self := m.Self(); !self.Leaving {
		out = append(out, self)
	}
	return append(out, peers...)
}
