package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// clock is a simulated clock.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *clock) newTracker(isProber bool) *Tracker {
	return New(Options{
		Policy:    PromptParts,
		IsLeaving: func(upstream string) bool { return upstream == "leaving" }, IsProber: func(uint64) bool { return isProber }, OnNews: func() {},
		Now: func() time.Time { return c.now }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
}

// lose loses as many upstreams under a part, half a second apart.
func (c *clock) lose(t *Tracker, count int, part uint64) {
	for i := range count {
		t.Start(fmt.Sprintf("%d-%d", c.now.UnixNano(), i), []uint64{part}, func() {}).RecordLost()
		c.advance(500 * time.Millisecond)
	}
}

// pass makes to learn what from knows.
func (c *clock) pass(from, to *Tracker) {
	e := from.Evidence()
	to.Merge(&e, c.now)
}

const part = 7

// Guards against verdicts that end with the restart of a daemon, or that do not reach a
// daemon that saw none of the crashes.
func TestVerdictOutlivesDaemon(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	first, second := c.newTracker(false), c.newTracker(false)
	c.lose(first, 5, part)
	assert.Equal(t, first.Check([]uint64{1, part}, false), Refuse)
	c.pass(first, second)
	assert.Equal(t, second.Check([]uint64{1, part}, false), Refuse)
	first = c.newTracker(false)
	c.pass(second, first)
	assert.Equal(t, first.Check([]uint64{part}, false), Refuse)
	assert.Equal(t, first.Check([]uint64{1}, false), Allow)
}

// Guards against a part that is refused for ever, and against more than one crash for
// trying it again.
func TestQuietPartIsTried(t *testing.T) {
	for _, isCured := range []bool{false, true} {
		c := &clock{now: time.Unix(1000, 0)}
		prober, other := c.newTracker(true), c.newTracker(false)
		c.lose(prober, 5, part)
		c.pass(prober, other)
		c.advance(holdTime + time.Second)
		prober.Tick()
		other.Tick()
		assert.Equal(t, other.Check([]uint64{part}, false), RefuseForNow)
		assert.Equal(t, prober.Check([]uint64{part}, false), Allow)
		assert.Equal(t, prober.Check([]uint64{part}, false), RefuseForNow, "a second trial")
		a := prober.Start("next", []uint64{part}, func() {})
		want := Refuse
		if isCured {
			want = Allow
			a.RecordBegun()
		} else {
			a.RecordLost()
		}
		c.pass(prober, other)
		c.pass(other, prober)
		for _, tracker := range []*Tracker{prober, other} {
			assert.Equal(t, tracker.Check([]uint64{part}, false), want)
		}
	}
}

// Guards against callers that fill the memory with parts, or displace by them the part
// that crashes upstreams.
func TestManyPartsAreBounded(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	tracker := c.newTracker(false)
	next := uint64(1 << 32)
	for i := range 200 {
		parts := []uint64{1 << 60}
		for range 100 {
			next++
			parts = append(parts, next)
		}
		tracker.Start(fmt.Sprintf("sound-%d", i), parts[1:], func() {}).RecordBegun()
		tracker.Start(fmt.Sprintf("lost-%d", i), parts, func() {}).RecordLost()
		c.advance(100 * time.Millisecond)
		assert.Assert(t, len(tracker.begun) <= maxBegun && len(tracker.losses) <= maxLosses && len(tracker.verdicts) <= maxVerdicts)
	}
	assert.Equal(t, tracker.Check([]uint64{1 << 60}, false), Refuse)
}

// Guards against requests that are still sent to upstreams, or begin there, although the
// part is known to crash them.
func TestConfirmedPartCancelsAttempts(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	first, second := c.newTracker(false), c.newTracker(false)
	canceled := 0
	second.Start("u", []uint64{part}, func() { canceled++ })
	sound := second.Start("u", []uint64{1}, func() { t.Error("canceled a request without the part") })
	c.lose(first, 5, part)
	first.Tick()
	c.pass(first, second)
	assert.Equal(t, canceled, 1)
	sound.RecordBegun()
}

// Guards against losses that say nothing about the requests: of an upstream that is
// leaving, of one upstream counted several times, and of answers that have begun.
func TestLossesWithoutEvidence(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	tracker := c.newTracker(false)
	for range 10 {
		tracker.Start("leaving", []uint64{part}, func() {}).RecordLost()
		tracker.Start("one", []uint64{part}, func() {}).RecordLost()
		c.advance(150 * time.Millisecond)
	}
	c.lose(tracker, 2, part)
	tracker.Start("two", []uint64{part}, func() {}).RecordBegun()
	c.lose(tracker, 2, part)
	c.advance(time.Second)
	assert.Equal(t, tracker.Check([]uint64{part}, false), Allow)
}

// Guards against evidence that is out of bounds, as of another version of the program.
func TestMergeOutOfBounds(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	tracker := c.newTracker(false)
	e := &Evidence{}
	for i := range 1000 {
		e.Losses = append(e.Losses, LossRecord{Upstream: fmt.Sprint(i), AgeMs: int64(i-500) << 40, Parts: make([]uint64, 1000)})
		e.Begun = append(e.Begun, BegunRecord{Part: uint64(i), AgeMs: -1 << 62})
		e.Verdicts = append(e.Verdicts, VerdictRecord{Part: uint64(i), Losses: -1, LossAgeMs: 1 << 62, RequestAgeMs: -1 << 62})
	}
	tracker.Merge(e, c.now)
	assert.Equal(t, len(tracker.verdicts), 0)
	assert.Assert(t, len(tracker.begun) <= maxSentBegun && len(tracker.losses) <= maxSentLosses)
}

// Guards against two parts that always occur together, of which only one is found.
func TestPartsThatOccurTogether(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	tracker := c.newTracker(false)
	for i := range 5 {
		tracker.Start(fmt.Sprint(i), []uint64{1, 2}, func() {}).RecordLost()
		c.advance(500 * time.Millisecond)
	}
	assert.Equal(t, tracker.Check([]uint64{1}, false), Refuse)
	assert.Equal(t, tracker.Check([]uint64{2}, false), Refuse)
}

// Guards against a loss that counts twice, in the verdict of another daemon and by itself,
// so that a part is confirmed by half as many.
func TestLossesCountOnce(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	first, second := c.newTracker(false), c.newTracker(false)
	for i := range PromptParts.SuspendLosses {
		for _, tracker := range []*Tracker{first, second} {
			tracker.Start(fmt.Sprint(i), []uint64{part}, func() {}).RecordLost()
		}
		c.advance(500 * time.Millisecond)
	}
	assert.Equal(t, first.Check([]uint64{part}, false), Allow, "the trial")
	for range 3 {
		c.pass(first, second)
		c.pass(second, first)
	}
	assert.Equal(t, second.Check([]uint64{part}, false), Allow, "the trial")
	assert.Equal(t, second.Check([]uint64{part}, false), RefuseForNow)
}
