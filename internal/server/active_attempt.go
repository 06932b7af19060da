package server

import "time"

// activeAttempt is the attempt of a request that is in progress. It is immutable.
type activeAttempt struct {
	upstream  string
	startedAt time.Time
	// lastEventBefore is the number of the last event recorded before the attempt,
	// or 0.
	lastEventBefore int64
	// interrupt cancels the attempt with errLeaving as the cause.
	interrupt func()
}
