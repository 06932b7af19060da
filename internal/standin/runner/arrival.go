package runner

import "time"

// Arrival is a request that has reached the runner, whether or not it was executed.
type Arrival struct {
	AttemptID string
	At        time.Time
	// Backoff is the value of Retry-After with which the request was refused; empty if it was not.
	Backoff string
}
