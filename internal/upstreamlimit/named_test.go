package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/telemetry"
)

// Guards against a fleet that sends an upstream more than the limit that it names, at any
// size, while daemons leave and come, and against an upstream that gets far less.
func TestNamedLimitHoldsForFleet(t *testing.T) {
	const window, slots = 4 * time.Second, 400
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		limit := Limit{Upstream: "u", RequestsPerSecond: rapid.Float64Range(0, 60).Draw(t, "limit")}
		names := make([]string, rapid.SampledFrom([]int{1, 9, 77, 295}).Draw(t, "daemons"))
		limiters := make([]*Limiter, len(names))
		for i := range names {
			names[i] = fmt.Sprintf("d%d", i)
			limiters[i] = NewLimiter(names[i], clock)
		}
		remaining := names
		for _, l := range limiters {
			l.Update([]Limit{limit}, remaining)
		}
		var sent []time.Time
		changeAt := rapid.IntRange(0, slots).Draw(t, "change")
		for slot := range slots {
			now = now.Add(50 * time.Millisecond)
			if slot == changeAt && len(names) > 1 {
				remaining = names[1:]
			}
			for i, l := range limiters[len(names)-len(remaining):] {
				if (slot+i)%10 == 0 {
					// The daemons learn of changes at different times, and repeatedly.
					l.Update([]Limit{limit}, remaining)
				}
				if l.Allow("u") {
					sent = append(sent, now)
				}
			}
		}
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= window {
				from++
			}
			allowed := 1.5*limit.RequestsPerSecond*window.Seconds() + 5
			assert.Assert(t, float64(to-from+1) <= allowed, "%d requests in %s, allowed %.1f", to-from+1, window, allowed)
		}
		if achievable := min(limit.RequestsPerSecond, float64(len(names)-1)); achievable > 0 {
			perSecond := float64(len(sent)) / (slots * 0.05)
			assert.Assert(t, perSecond >= 0.6*achievable-0.1, "%.2f requests a second, limit %.2f", perSecond, limit.RequestsPerSecond)
		}
	})
}

// namedFixture is a Named on a simulated clock.
type namedFixture struct {
	*Named
	now     time.Time
	changes int
}

func newNamedFixture() *namedFixture {
	f := &namedFixture{now: time.Unix(1000, 0)}
	f.Named = NewNamed(NamedOptions{OnChange: func() { f.changes++ }, Now: func() time.Time { return f.now }, Logger: telemetry.Discard()})
	return f
}

func rate(v float64) *float64 { return &v }

// Guards against a limit that outlives its end because another daemon tells of it late, and
// against one that is forgotten while the upstream still names it.
func TestEndOfNamedLimit(t *testing.T) {
	first, second := newNamedFixture(), newNamedFixture()
	first.Observe("u", rate(3))
	old := first.Records()
	second.Merge(old, second.now)
	_, isLimited := second.Limit("u")
	assert.Assert(t, isLimited)
	first.now, second.now = first.now.Add(time.Second), second.now.Add(time.Second)
	old[0].AgeMs = 1000
	first.Observe("u", nil)
	second.Merge(first.Records(), second.now)
	second.Merge(old, second.now)
	_, isLimited = second.Limit("u")
	assert.Assert(t, !isLimited)
	assert.Equal(t, second.changes, 2)

	first.Observe("v", rate(2))
	first.now = first.now.Add(time.Hour)
	first.Tick(func(string) bool { return true })
	limit, isLimited := first.Limit("v")
	assert.Assert(t, isLimited && limit == 2)
	assert.Equal(t, len(first.Records()), 1, "the end of the other limit is no longer told")
	first.Tick(func(upstream string) bool { return upstream != "v" })
	assert.Equal(t, len(first.Records()), 0)
}

// Guards against a fleet that is kept busy by limits that change with each response, and
// against changes that are missed.
func TestOnlySignificantChangesAreTold(t *testing.T) {
	f := newNamedFixture()
	f.Observe("u", nil)
	assert.Equal(t, f.changes, 0)
	for i := range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		f.Observe("u", rate(3+0.01*float64(i%5)))
	}
	assert.Equal(t, f.changes, 1)
	f.now = f.now.Add(10 * time.Millisecond)
	f.Observe("u", rate(2))
	limit, _ := f.Limit("u")
	assert.Equal(t, limit, 2.0)
	f.Merge([]Record{{Upstream: "w", Limit: -1}, {Upstream: "", Limit: 2}}, f.now)
	assert.Equal(t, f.changes, 2)
}
