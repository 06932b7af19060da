// Package usage counts the requests that upstreams began, by workspace and by
// window of the true time, and reports them once per window.
package usage

import (
	"maps"
	"sync"
	"time"
)

// keepWindows is how many windows are kept after their end, for a new holder of
// the duty.
const keepWindows = 8

// Counts holds numbers of requests by workspace.
type Counts map[string]int64

// Counter counts the requests of this daemon. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewCounter returns a Counter for windows of a length; now tells the true time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, windows: map[int64]Counts{}}
}

// Window returns the number of the window that contains a time.
func (c *Counter) Window(at time.Time) int64 {
	return at.UnixMilli() / c.length.Milliseconds()
}

// End returns the end of a window.
func (c *Counter) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * c.length.Milliseconds())
}

// Began counts a request that an upstream began to run now.
func (c *Counter) RecordStarted(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := c.Window(c.now())
	counts := c.windows[window]
	if counts == nil {
		counts = Counts{}
		c.windows[window] = counts
		for old := range c.windows {
			if old < window-keepWindows {
				delete(c.windows, old)
			}
		}
	}
	counts[workspace]++
}

// Windows returns a copy of the counts of the latest windows.
func (c *Counter) Windows(latest int) map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.Window(c.now())
	out := map[int64]Counts{}
	for window, counts := range c.windows {
		if window > current-int64(latest) {
			out[window] = maps.Clone(counts)
		}
	}
	return out
}
