package upstreampath

import (
	"math/rand/v2"
	"time"
)

// maxFirstProbe exceeds the number of upstreams of a pool.
const maxFirstProbe = 1 << 20

// poolPath is what is known of the path to the upstreams of one pool. It is guarded by
// Monitor.mu.
type poolPath struct {
	// heardAt is when anything was last received from an upstream of the pool.
	heardAt time.Time
	// failedAt holds, by address, when connecting to an upstream last failed since heardAt.
	failedAt map[string]time.Time
	// calls are the calls in progress.
	calls  map[*Call]bool
	isLost bool
	// lostUntil is when the path was last lost; it is zero if it never was.
	lostUntil time.Time
	// probedAt is when the upstreams were last probed, and nextProbe counts the probes.
	probedAt  time.Time
	nextProbe int
	// loggedAt is when a change was last logged.
	loggedAt time.Time
}

func newPoolPath() *poolPath {
	// Daemons that lose their paths together begin with different upstreams.
	return &poolPath{failedAt: map[string]time.Time{}, calls: map[*Call]bool{}, nextProbe: rand.IntN(maxFirstProbe)}
}

// isSilent reports whether a call has waited for silenceTime while nothing was received from
// any upstream of the pool.
func (p *poolPath) isSilent(now time.Time) bool {
	if now.Sub(p.heardAt) < silenceTime {
		return false
	}
	for c := range p.calls {
		if now.Sub(c.heardAt) >= silenceTime {
			return true
		}
	}
	return false
}

// failures returns the number of upstreams to which connecting failed within failureMemory.
func (p *poolPath) failures(now time.Time) int {
	count := 0
	for address, at := range p.failedAt {
		if now.Sub(at) > failureMemory {
			delete(p.failedAt, address)
			continue
		}
		count++
	}
	return count
}
