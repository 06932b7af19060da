package autoscale

import "time"

// VersionMove names the roles of a service's versions from the order of a version move
// until the losing version has no live upstream. The zero value means that there is none.
type VersionMove struct {
	// Serving is the version that gets most requests now.
	Serving string
	// Next is the version that gets all requests if the move succeeds; "" after the end of
	// the move.
	Next string
	// IsSwitched is set if the move ended with the new version. The platform then stops the
	// other upstreams at once.
	IsSwitched bool
	// EndedAt is when the move ended; zero while it is running.
	EndedAt time.Time
}

// isActive reports whether there is a move.
func (m VersionMove) isActive() bool { return m.Serving != "" }

// isSame reports whether m and other are the same part of the same move.
func (m VersionMove) isSame(other VersionMove) bool {
	return m.Serving == other.Serving && m.Next == other.Next && m.isActive() == other.isActive()
}
