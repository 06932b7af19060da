package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// newRequestTracker returns a Tracker of whole requests.
func newRequestTracker(now func() time.Time, isProber bool) *Tracker {
	return New(Options{
		Policy: WholeRequests, IsLeaving: func(upstream string) bool { return upstream == "leaving" }, IsProber: func(uint64) bool { return isProber },
		OnNews: func() {}, Now: now, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
}

// Guards against a request that goes on crashing upstreams after the third, because each
// daemon tries it or because it is tried too often.
func TestRequestIsTriedRarely(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	first, second := newRequestTracker(func() time.Time { return c.now }, false), newRequestTracker(func() time.Time { return c.now }, true)
	c.lose(first, WholeRequests.SuspendLosses, part)
	first.Tick()
	c.pass(first, second)
	tries := 0
	for span := time.Duration(0); span < time.Minute; span += 100 * time.Millisecond {
		assert.Assert(t, first.Check([]uint64{part}, false) != Allow)
		if second.Check([]uint64{part}, false) == Allow {
			tries++
			c.lose(second, 1, part)
			second.Tick()
			c.pass(second, first)
		}
		assert.Equal(t, second.Check([]uint64{part + 1}, false), Allow)
		c.advance(100 * time.Millisecond)
	}
	assert.Equal(t, tries, WholeRequests.ConfirmLosses-WholeRequests.SuspendLosses)
	assert.Equal(t, first.Check([]uint64{part}, false), Refuse)
}

// Guards against a sound request that stays refused although a trial was answered.
func TestSoundRequestIsClearedByTrial(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	first, second := newRequestTracker(func() time.Time { return c.now }, false), newRequestTracker(func() time.Time { return c.now }, true)
	c.lose(first, WholeRequests.SuspendLosses, part)
	first.Tick()
	c.pass(first, second)
	c.advance(WholeRequests.TrialDelay)
	assert.Equal(t, second.Check([]uint64{part}, false), Allow)
	second.Start("u", []uint64{part}, func() {}).RecordBegun()
	c.pass(second, first)
	assert.Equal(t, first.Check([]uint64{part}, false), Allow)
}

// Guards against sound requests that are refused because upstreams were lost under them: at
// the same moment, as in a reclaim; when they were leaving; or while the request is answered
// elsewhere all the time.
func TestSoundRequestsAreNotRefused(t *testing.T) {
	const upstreams = 4
	for name, c := range map[string]struct {
		gap       time.Duration
		upstream  string
		isPopular bool
	}{
		"same moment":           {5 * time.Millisecond / upstreams, "u", false},
		"leaving":               {time.Second, "leaving", false},
		"answered by others":    {time.Second, "u", true},
		"answered a while back": {10 * time.Second, "u", true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.Unix(1000, 0)}
			tracker := newRequestTracker(func() time.Time { return clock.now }, false)
			other := newRequestTracker(func() time.Time { return clock.now }, false)
			if c.isPopular {
				other.Start("sound", []uint64{part}, func() {}).RecordBegun()
			}
			clock.advance(time.Second)
			for i := range upstreams {
				upstream := c.upstream
				if upstream != "leaving" {
					upstream = fmt.Sprintf("%s-%d", c.upstream, i)
				}
				tracker.Start(upstream, []uint64{part}, func() {}).RecordLost()
				// The daemon that has seen the answer tells so when it learns of the loss.
				clock.pass(tracker, other)
				clock.pass(other, tracker)
				clock.advance(c.gap)
			}
			clock.advance(settleTime)
			assert.Equal(t, tracker.Check([]uint64{part}, false), Allow)
		})
	}
}

// BenchmarkSoundRequest measures what a request costs whose answer begins, with no loss
// anywhere.
func BenchmarkSoundRequest(b *testing.B) {
	tracker := newRequestTracker(time.Now, false)
	n := uint64(0)
	for b.Loop() {
		n++
		keys := []uint64{n * 0x9e3779b97f4a7c15}
		if tracker.Check(keys, false) == Allow {
			tracker.Start("u", keys, func() {}).RecordBegun()
		}
	}
}
