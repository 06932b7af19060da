package server

import "time"

// running is the attempt of a request that is under way. It does not change.
type running struct {
	upstream string
	begun    time.Time
	// before is the number of the last event before the attempt.
	before int64
	// interrupt ends the attempt because its upstream is leaving.
	interrupt func()
}
