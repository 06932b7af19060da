package admin

import "rattantide/internal/objectclient"

// Status is the state of one daemon.
type Status struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// State is "serving" or "draining".
	State string `json:"state"`
	// Revision is the highest object version in effect on this daemon.
	Revision objectclient.Revision `json:"revision"`
	// ObjectAPI is "available", "unavailable" or, if not known, empty.
	ObjectAPI string  `json:"objectAPI,omitempty"`
	Leases    []Lease `json:"leases"`
	// InFlight is the number of accepted requests that are not yet answered.
	InFlight int `json:"inFlight"`
	// Waiting is the number of in-flight requests that wait for admission.
	Waiting   int          `json:"waiting"`
	Daemons   MemberCounts `json:"daemons"`
	Upstreams []PoolCount  `json:"upstreams"`
	Moves     []Move       `json:"moves"`
}
