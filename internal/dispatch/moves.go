package dispatch

import "rattantide/internal/configsync"

// Moves enforces running version moves. The implementation is rollout.Guard.
type Moves interface {
	// Share returns the share of requests that may go to the new version now,
	// 0 to 1. It is 0 when the version was found bad or the deadline passed.
	Share(m *configsync.Move) float64
	// Observe records an attempt as evidence: when its first token came, and
	// when it has ended.
	Observe(MoveSample)
}
