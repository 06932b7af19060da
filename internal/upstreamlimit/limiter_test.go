package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against the load of a whole fleet on an upstream that has just started, which is
// the least loaded one in the eyes of each daemon: after a failure domain was taken back,
// all of its upstreams are in that state. The bound holds also while the fleet is split.
func TestStartingUpstreamIsNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		upstream := Limit{Upstream: "u", RequestsPerSecond: float64(rapid.IntRange(2, 40).Draw(t, "tolerated")), IsStarting: true, Duration: time.Minute}
		names := make([]string, rapid.IntRange(1, 300).Draw(t, "daemons"))
		for i := range names {
			names[i] = fmt.Sprintf("d%d", i)
		}
		split := rapid.IntRange(0, len(names)).Draw(t, "split")
		limiters := make([]*Limiter, len(names))
		for i, name := range names {
			view := names[:split]
			if i >= split {
				view = names[split:]
			}
			limiters[i] = NewLimiter(name, clock)
			limiters[i].Update([]Limit{upstream}, view)
		}
		var sent []time.Time
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			for _, l := range limiters {
				if l.Allow("u") {
					sent = append(sent, now)
				}
			}
		}
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			assert.Assert(t, float64(to-from+1) <= upstream.RequestsPerSecond, "%d requests within a second", to-from+1)
		}
		assert.Assert(t, len(sent) > 0, "the upstream is never used")
	})
}

// Guards against a limit that remains after the start, or that applies to others.
func TestOnlyStartingUpstreamsAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter("d", func() time.Time { return now })
	starting := []Limit{{Upstream: "u", RequestsPerSecond: 4, IsStarting: true, Duration: 3 * time.Second}}
	l.Update(starting, []string{"d"})
	assert.Assert(t, l.Blocked() == nil)
	assert.Assert(t, l.Allow("u") && !l.Allow("u"))
	assert.DeepEqual(t, l.Blocked(), []string{"u"})
	for range 2 {
		assert.Assert(t, l.Allow("v"))
	}
	now = now.Add(startingInterval)
	assert.Assert(t, l.Allow("u"))
	l.Update(nil, []string{"d"})
	for range 2 {
		assert.Assert(t, l.Allow("u"))
	}

	// The end of the start is not told.
	l.Update(starting, []string{"other"})
	assert.Assert(t, !l.IsAssigned("u") && !l.EndStarts())
	now = now.Add(starting[0].Duration + expiryMargin)
	assert.Assert(t, l.EndStarts() && !l.EndStarts())
	assert.Assert(t, l.IsAssigned("u") && l.Allow("u"))
}
