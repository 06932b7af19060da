package admin

// Status is the state of one daemon.
type Status struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// State is "serving" or "draining".
	State string `json:"state"`
	// Revision is the highest object version in effect here.
	Revision int64 `json:"revision"`
	// ObjectAPI is "available", "unavailable" or empty when not known.
	ObjectAPI string  `json:"objectAPI,omitempty"`
	Leases    []Lease `json:"leases"`
	// InFlight counts requests that were accepted and not yet answered.
	InFlight int `json:"inFlight"`
	// Waiting counts those of them that wait for admission.
	Waiting   int         `json:"waiting"`
	Daemons   Members     `json:"daemons"`
	Upstreams []PoolCount `json:"upstreams"`
	Moves     []Move      `json:"moves"`
}
