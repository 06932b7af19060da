package autoscale

import (
	"time"

	"rattantide/internal/fleetconfig"
)

// Kind tells whether upstreams can be reclaimed.
type Kind int

// The kinds of upstreams.
const (
	OnDemand Kind = iota
	Reclaimable
)

// Place is a kind of upstreams in a failure domain.
type Place struct {
	Domain string
	Kind   Kind
}

// Order asks for a number of upstreams.
type Order struct {
	Place
	Count int
}

// Observed is what is known of a service now.
type Observed struct {
	Bounds *fleetconfig.Autoscale
	// Live are the upstreams that serve, by place.
	Live map[Place]int
	// Median is the median time of recent requests to their first answer relative
	// to its target, Late the share of those that were late or nearly so, and
	// Requests their number.
	Median   float64
	Late     float64
	Requests int
	Now      time.Time
}

// total returns all upstreams that serve.
func (o *Observed) total() int {
	n := 0
	for _, count := range o.Live {
		n += count
	}
	return n
}
