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
