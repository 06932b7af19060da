package usage

import (
	"maps"
	"sync"

	"rattantide/internal/objectclient"
)

// FinalCounts are the counts of a window that no report may deviate from.
type FinalCounts struct {
	Counts Counts `json:"c"`
	// Revision is that of the record by which the counts became final.
	Revision objectclient.Revision `json:"r"`
}

// Finals remembers the final counts of the latest windows, which a store that is restored
// from a copy may have lost. The holder of the duty and its next holders exchange them. It
// is safe for concurrent use.
type Finals struct {
	mu      sync.Mutex
	windows map[int64]FinalCounts
}

// NewFinals returns Finals without windows.
func NewFinals() *Finals { return &Finals{windows: map[int64]FinalCounts{}} }

// Merge adds final counts. If counts of a window are known, those that became final first
// are retained, as these may have been reported first.
func (f *Finals) Merge(windows map[int64]FinalCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for window, next := range windows {
		if known, ok := f.windows[window]; ok && known.Revision <= next.Revision {
			continue
		}
		f.windows[window] = next
		deleteExpired(f.windows, window)
	}
}

// Get returns the final counts of a window, if they are known.
func (f *Finals) Get(window int64) (FinalCounts, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.windows[window]
	return final, ok
}

// Windows returns all final counts by window. The counts must not be changed.
func (f *Finals) Windows() map[int64]FinalCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.windows)
}
