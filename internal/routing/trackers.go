package routing

import (
	"sync"
	"time"
)

// Trackers holds one Tracker per pool. The zero value is ready to use. It is safe
// for concurrent use.
type Trackers struct {
	// IndexBlocks bounds the cache index of each pool. Default:
	// DefaultIndexBlocks.
	IndexBlocks int
	// OnSlowness, when set, is called with each measurement of the lasting slowness of an
	// upstream. It must return quickly.
	OnSlowness func(SlownessSample)

	mu    sync.Mutex
	pools map[string]*Tracker
}

// Pool returns the tracker of a pool, which it creates if necessary.
func (t *Trackers) Pool(name string) *Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = map[string]*Tracker{}
	}
	tracker := t.pools[name]
	if tracker == nil {
		tracker = NewTracker(t.IndexBlocks)
		tracker.onSlowness = t.OnSlowness
		t.pools[name] = tracker
	}
	return tracker
}

// RecordReclaim records a reclaim in a failure domain for all pools that have a
// tracker.
func (t *Trackers) RecordReclaim(domain string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tracker := range t.pools {
		tracker.RecordReclaim(domain, now)
	}
}
