package membership

import "time"

// Daemon is a daemon as known here.
type Daemon struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Leaving is set once the daemon announced that it is leaving, or a reclaim
	// notice named it.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingBy is when a daemon under a reclaim notice is expected to be gone;
	// zero when that is not known.
	LeavingBy time.Time `json:"-"`
}
