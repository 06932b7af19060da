package admission

import "time"

const (
	startLimit = 64.0
	minLimit   = 4.0
	// maxLimit is twice the open requests per daemon at the target size.
	maxLimit = 2100.0
	// limitWindow is the least time between two changes of a limit: load
	// reports and latencies lag by about a second.
	limitWindow = time.Second
	// limitSamples is the least number of outcomes per change, so that one slow
	// answer at low traffic is not taken for 5% of slow answers.
	limitSamples = 20
	limitDown    = 0.9
	limitUp      = 0.05
	// loadFactor is how far latency must be above its unloaded value before it
	// is blamed on load. Otherwise a slow version would throttle its pool.
	loadFactor = 1.3
	// baseRise lets the unloaded value follow upwards, about 1% per window.
	baseRise = 1.01
	// perUpstream attempts per upstream are always allowed: a batch that small
	// does not slow an engine.
	perUpstream = 2
)

// limit is the number of attempts that may be open at a pool at once. It
// decreases multiplicatively when more requests miss their target than the
// class allows and latency is above its unloaded value, and increases
// additively while it is reached and the targets are met.
type limit struct {
	value float64
	floor float64
	// base is the lowest window mean of the time to first token, relative to
	// its target.
	base        float64
	windowStart time.Time
	samples     int
	missed      int
	allowed     float64
	sum         float64
	peak        int
}

func newLimit() limit { return limit{value: startLimit, floor: minLimit} }

func (l *limit) upstreams(n int) {
	l.floor = max(minLimit, float64(n*perUpstream))
	l.value = max(l.value, l.floor)
}

func (l *limit) current() int { return int(l.value) }

func (l *limit) started(inFlight int) { l.peak = max(l.peak, inFlight) }

// ended takes an outcome into account and adapts the limit at the end of a
// window.
func (l *limit) ended(r *Request, o Outcome, now time.Time) {
	if !o.OK || (r.FirstTarget <= 0 && r.GapTarget <= 0) {
		return
	}
	ratio := 0.0
	if r.FirstTarget > 0 {
		ratio = float64(o.First) / float64(r.FirstTarget)
	}
	if r.GapTarget > 0 {
		ratio = max(ratio, float64(o.Gap)/float64(r.GapTarget))
	}
	l.samples++
	l.sum += ratio
	l.allowed += 1 - r.Within
	if ratio > 1 {
		l.missed++
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if l.samples >= limitSamples && now.Sub(l.windowStart) >= limitWindow {
		l.adapt(now)
	}
}

func (l *limit) adapt(now time.Time) {
	mean := l.sum / float64(l.samples)
	if l.base == 0 || mean < l.base {
		l.base = mean
	} else {
		l.base *= baseRise
	}
	switch {
	case float64(l.missed) > l.allowed+1 && mean > l.base*loadFactor:
		l.value = max(l.floor, min(l.value, float64(l.peak))*limitDown)
	case float64(l.missed) <= l.allowed && float64(l.peak) >= 0.8*l.value:
		l.value = min(maxLimit, l.value+max(1, l.value*limitUp))
	}
	l.windowStart, l.samples, l.missed, l.allowed, l.sum, l.peak = now, 0, 0, 0, 0, 0
}
