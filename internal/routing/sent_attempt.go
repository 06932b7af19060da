package routing

import "time"

// SentAttempt identifies an open attempt for Tracker.RecordFirstToken and
// Tracker.RecordEnd.
type SentAttempt struct {
	name string
	// queuedTokens is the estimated number of prompt tokens that were to be
	// processed before the request, and uncachedTokens the number of its own.
	queuedTokens   float64
	uncachedTokens float64
	// at is when it was sent, since the tracker's start.
	at time.Duration
	// waitSeconds and pace are those of the candidate.
	waitSeconds float64
	pace        float64
	// running and slowness are those of the candidate, and runningSeconds is the part of
	// waitSeconds that is due to running requests.
	running, slowness float64
	runningSeconds    float64
}

// UncachedTokens returns the estimated number of prompt tokens that the
// upstream had to process.
func (s SentAttempt) UncachedTokens() int { return int(s.uncachedTokens) }
