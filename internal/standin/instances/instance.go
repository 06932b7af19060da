package instances

// Instance is one entry of the list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Role is "daemon" or "upstream". Pool and Version apply to upstreams.
	Role    string `json:"role"`
	Pool    string `json:"pool,omitempty"`
	Version string `json:"version,omitempty"`
	// Class is "reclaimable" or "on-demand".
	Class        string  `json:"class,omitempty"`
	PricePerHour float64 `json:"pricePerHour,omitempty"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// List is the content of the list at a revision.
type List struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Faults are the injected faults of the list.
type Faults struct {
	// LagMs is the minimum age of the list that is served, in milliseconds.
	LagMs int64 `json:"lagMs"`
	// Frozen makes the server return the list that was visible when it was set.
	Frozen bool `json:"frozen"`
	// Outage makes reads fail with status 503.
	Outage bool `json:"outage"`
}
