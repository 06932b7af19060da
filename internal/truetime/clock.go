// Package truetime estimates the true time of day on an instance whose own time of
// day may jump. The estimate runs on the clock that counts suspensions and is
// corrected by the median of what the other daemons' clocks say.
package truetime

import (
	"sort"
	"sync"
	"time"
)

// maxSamples bounds the daemons whose clocks are taken into account.
const maxSamples = 64

// sampleLife is how long what a daemon's clock said counts.
const sampleLife = 20 * time.Second

// Clock tells the estimated true time. It is safe for concurrent use.
type Clock struct {
	steady func() time.Time
	wall   func() time.Time

	mu      sync.Mutex
	samples map[string]sample
	offset  time.Duration
}

// sample is the time of day of a daemon minus this instance's steady clock.
type sample struct {
	offset time.Duration
	at     time.Time
}

// own is the name of the sample of this instance.
const own = ""

// New returns a Clock that starts with this instance's time of day.
func New(steady, wall func() time.Time) *Clock {
	c := &Clock{steady: steady, wall: wall, samples: map[string]sample{}}
	now := steady()
	c.offset = wall().Sub(now)
	c.samples[own] = sample{offset: c.offset, at: now}
	return c
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady().Add(c.offset)
}

// Observe takes over the time of day of another daemon, as of a moment on the
// steady clock.
func (c *Clock) Observe(name string, wall, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady()
	if _, known := c.samples[name]; !known && len(c.samples) >= maxSamples {
		return
	}
	c.samples[name] = sample{offset: wall.Sub(at), at: now}
	c.samples[own] = sample{offset: c.wall().Sub(now), at: now}
	offsets := make([]time.Duration, 0, len(c.samples))
	for key, s := range c.samples {
		if now.Sub(s.at) > sampleLife {
			delete(c.samples, key)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	c.offset = offsets[len(offsets)/2]
}
