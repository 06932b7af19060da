package membership

import "time"

// Upstream is an upstream as known here. Values handed out by a Table are
// copies; changing them has no effect.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Pool    string `json:"pool"`
	// Version is what the load report says; before the first report, or when it
	// names none, what the instance list says.
	Version string        `json:"version"`
	Class   InstanceClass `json:"class"`
	// PricePerHour is in the currency of the instance list.
	PricePerHour float64 `json:"pricePerHour"`
	// Leaving is set once the upstream is known to be leaving; it then gets no
	// new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingBy is when a leaving upstream is expected to be gone; zero when
	// that is not known.
	LeavingBy time.Time `json:"leavingBy"`
	// Load is the latest load report; nil before the first.
	Load *Load `json:"load,omitempty"`
}
