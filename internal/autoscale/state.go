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
	// Live is the number of live upstreams by place, during a version move of those that
	// have the serving version.
	Live map[Place]int
	// Move is the version move of the service, if there is one. Next is the number of live
	// upstreams of its next version by place, and Others that of all versions but the serving
	// one. The platform counts them in orders, but they take few requests.
	Move   VersionMove
	Next   map[Place]int
	Others map[Place]int
	// Median is the median time to the first answer of recent requests as a
	// ratio to the target, LateShare is the share of those that were late or
	// nearly late, and Requests is their number.
	Median    float64
	LateShare float64
	Requests  int
	Now       time.Time
}

// total returns the number of live upstreams, during a version move of the serving version.
func (o *Observation) total() int { return sum(o.Live) }

// nextTotal returns the number of live upstreams of the next version of a move.
func (o *Observation) nextTotal() int { return sum(o.Next) }

// all returns the number of live upstreams of all versions at a place.
func (o *Observation) all(place Place) int { return o.Live[place] + o.Others[place] }

// sum returns the sum of all counts.
func sum(counts map[Place]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}
