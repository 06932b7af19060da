// Package usage counts the requests that upstreams started to run, by workspace and
// time window, and reports the counts of each window. Windows are intervals of the
// estimated true time, so that they agree across daemons.
package usage

import (
	"maps"
	"sync"
	"time"
)

// retainedWindows is the number of past windows whose counts are retained, for the
// next holder of the duty.
const retainedWindows = 8

// Counts maps workspaces to numbers of requests.
type Counts map[string]int64

// Counter counts the requests of this daemon. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewCounter returns a Counter for windows of the given length; now returns the true
// time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, windows: map[int64]Counts{}}
}

// Window returns the number of the window that contains at, counted from the Unix
// epoch.
func (c *Counter) Window(at time.Time) int64 {
	return at.UnixMilli() / c.length.Milliseconds()
}

// End returns the end of a window.
func (c *Counter) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * c.length.Milliseconds())
}

// RecordStarted counts a request that an upstream has started to run now.
func (c *Counter) RecordStarted(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := c.Window(c.now())
	counts := c.windows[window]
	if counts == nil {
		counts = Counts{}
		c.windows[window] = counts
		deleteExpired(c.windows, window)
	}
	counts[workspace]++
}

// deleteExpired deletes the windows that precede latest by more than retainedWindows.
func deleteExpired[V any](windows map[int64]V, latest int64) {
	maps.DeleteFunc(windows, func(window int64, _ V) bool { return window < latest-retainedWindows })
}

// Windows returns a copy of the counts of the latest windows, at most limit of them,
// by window number. The current window is included.
func (c *Counter) Windows(limit int) map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.Window(c.now())
	out := map[int64]Counts{}
	for window, counts := range c.windows {
		if window > current-int64(limit) {
			out[window] = maps.Clone(counts)
		}
	}
	return out
}
