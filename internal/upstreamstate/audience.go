package upstreamstate

import "time"

// audience is a group of receivers that get the same messages.
type audience int

const (
	// toCollectors is for this daemon's own observations.
	toCollectors audience = iota
	// toFirst is for the daemons for which this one is the first collector, and toSecond for
	// those for which it is the second.
	toFirst
	toSecond
	audienceCount
)

// sentState is the state of a process that was last sent to an audience.
type sentState struct {
	takenAt   time.Time
	pace      float64
	occupancy int
	// extraAt is when slots and slowness were sent.
	extraAt time.Time
}
