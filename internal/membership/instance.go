package membership

// The states of instances in the instance list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the instance list. It is identified by its name and
// address together, as a replacement may reuse the name.
type Instance struct {
	Name         string        `json:"name"`
	Address      string        `json:"address"`
	Domain       string        `json:"domain"`
	Region       string        `json:"region"`
	Role         Role          `json:"role"`
	Pool         string        `json:"pool,omitempty"`
	Version      string        `json:"version,omitempty"`
	Class        InstanceClass `json:"class,omitempty"`
	PricePerHour float64       `json:"pricePerHour,omitempty"`
	// IsStarting is set while an upstream has just started and tolerates few requests.
	IsStarting bool `json:"starting,omitempty"`
	// State is StateLive or StateLeaving, as last reported by the list.
	State string `json:"state,omitempty"`
}
