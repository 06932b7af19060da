package membership

import "time"

// Upstream is an upstream as recorded in a Table. It is a copy; modifying it does
// not affect the Table.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Pool    string `json:"pool"`
	// Version is the version from the latest load report, or from the instance
	// list if there is no report or the report contains none.
	Version string        `json:"version"`
	Class   InstanceClass `json:"class"`
	// PricePerHour is in the currency of the instance list.
	PricePerHour float64 `json:"pricePerHour"`
	// Leaving is set if the upstream is known to be leaving; it then receives no
	// new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingBy is when a leaving upstream is expected to stop; zero if that is
	// not known.
	LeavingBy time.Time `json:"leavingBy"`
	// Generation identifies the process of the upstream, as in Announcement.
	Generation int64 `json:"generation,omitempty"`
	// Load is the latest load report, or nil before the first. It is shared and
	// must not be modified.
	Load *Load `json:"load,omitempty"`
}
