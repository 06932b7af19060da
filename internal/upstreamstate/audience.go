package upstreamstate

import "time"

// audience is a group of receivers that get the same news.
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

// sentMark is what an audience was last sent of a process.
type sentMark struct {
	takenAt   time.Time
	pace      float64
	occupancy int
	// extraAt is when slots and slowness were sent.
	extraAt time.Time
}
