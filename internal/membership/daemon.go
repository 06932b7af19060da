package membership

import "time"

// Daemon is a daemon of the deployment as recorded in a Table.
type Daemon struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Leaving is set if the daemon announced that it is leaving, a reclaim notice
	// applies to it, or the instance list reports it as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingBy is when a leaving daemon is expected to stop; zero if that is not
	// known.
	LeavingBy time.Time `json:"-"`
}
