package dispatch

import "rattantide/internal/configsync"

// Moves enforces running version moves. It is implemented by rollout.Guard.
type Moves interface {
	// Share returns the share of requests that may currently be sent to the new
	// version, 0 to 1. It is 0 when the version was found bad or the deadline
	// has passed.
	Share(m *configsync.Move) float64
	// Observe records a sample of an attempt: once when its first token
	// arrives, and once when it has ended.
	Observe(MoveSample)
}
