package soak

import (
	"slices"
	"sync"
	"time"
)

// maxFaultDuration exceeds the duration of every fault of a link or a node.
const maxFaultDuration = 3 * time.Second

// disturbances holds the times at which faults of a node or a link began or ended. It is safe
// for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	times []time.Time
}

func (d *disturbances) record() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.times = append(d.times, time.Now())
}

// overlap reports whether a fault may have been in effect at some time of a span.
func (d *disturbances) overlap(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.times, func(at time.Time) bool {
		return at.After(from.Add(-maxFaultDuration)) && at.Before(to)
	})
}
