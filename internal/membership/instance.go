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
	// StartedAtMs is when the process of the instance started, in Unix milliseconds, or 0 if
	// the list does not tell. It raises the generation of the instance.
	StartedAtMs int64 `json:"startedAtMs,omitempty"`
	// Withheld is set while this daemon must not use the upstream although it is not leaving.
	Withheld bool `json:"withheld,omitempty"`
	// State is StateLive or StateLeaving, as last reported by the list.
	State string `json:"state,omitempty"`
}

// IsStaying reports whether the instance is not leaving.
func (i Instance) IsStaying() bool { return i.State != StateLeaving }
