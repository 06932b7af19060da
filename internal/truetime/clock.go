// Package truetime estimates the true time of day on an instance whose wall clock may
// jump. The estimate advances with a steady clock that includes suspensions, and is
// corrected to the median of the wall clocks of all daemons.
package truetime

import (
	"sort"
	"sync"
	"time"
)

// maxSamples bounds the number of clocks, including that of this instance, that the
// estimate is based on.
const maxSamples = 64

// sampleTTL is the age at which a sample is discarded.
const sampleTTL = 20 * time.Second

// Clock estimates the true time. It is safe for concurrent use.
type Clock struct {
	steady func() time.Time
	wall   func() time.Time

	mu      sync.Mutex
	samples map[string]sample
	offset  time.Duration
}

// sample is an observation of a daemon's wall clock: its offset from this instance's
// steady clock.
type sample struct {
	offset     time.Duration
	observedAt time.Time
}

// localKey is the key of this instance's sample.
const localKey = ""

// New returns a Clock whose initial estimate is this instance's wall clock. steady and
// wall return the time of the two clocks.
func New(steady, wall func() time.Time) *Clock {
	c := &Clock{steady: steady, wall: wall, samples: map[string]sample{}}
	now := steady()
	c.offset = wall().Sub(now)
	c.samples[localKey] = sample{offset: c.offset, observedAt: now}
	return c
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady().Add(c.offset)
}

// Observe records that the wall clock of another daemon showed wall when the steady
// clock showed at, and updates the estimate. A daemon without a sample is ignored while
// there are maxSamples samples.
func (c *Clock) Observe(name string, wall, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady()
	if _, known := c.samples[name]; !known && len(c.samples) >= maxSamples {
		return
	}
	c.samples[name] = sample{offset: wall.Sub(at), observedAt: now}
	c.samples[localKey] = sample{offset: c.wall().Sub(now), observedAt: now}
	offsets := make([]time.Duration, 0, len(c.samples))
	for key, s := range c.samples {
		if now.Sub(s.observedAt) > sampleTTL {
			delete(c.samples, key)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	c.offset = offsets[len(offsets)/2]
}
