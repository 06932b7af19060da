package autoscale

import (
	"time"

	"rattantide/internal/fleetconfig"
)

// Kind is the kind of upstreams: on-demand or reclaimable.
type Kind int

// The kinds of upstreams.
const (
	OnDemand Kind = iota
	Reclaimable
)

// Place is a failure domain and a kind of upstreams in it.
type Place struct {
	Domain string
	Kind   Kind
}

// Order sets the number of upstreams at a place.
type Order struct {
	Place
	Count int
}

// Observation is the input to a planning step of one service.
type Observation struct {
	// Bounds are the service's limits, boot time and prices.
	Bounds *fleetconfig.Autoscale
	// Live is the number of live upstreams by place.
	Live map[Place]int
	// Median is the median time to the first answer of recent requests as a
	// ratio to the target, LateShare is the share of those that were late or
	// nearly late, and Requests is their number.
	Median    float64
	LateShare float64
	Requests  int
	Now       time.Time
}

// total returns the number of live upstreams.
func (o *Observation) total() int {
	n := 0
	for _, count := range o.Live {
		n += count
	}
	return n
}
