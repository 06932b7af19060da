package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// workEvery is the least time between two changes of a work limit.
	workEvery = 200 * time.Millisecond
	// workSamples is the number of answers that a decision looks at, and
	// minWorkSamples the least.
	workSamples    = 15
	minWorkSamples = 5
	// overloaded is the median time to the first answer, relative to the target,
	// above which work is held back, and workGoal the one that is aimed at.
	overloaded = 0.55
	workGoal   = 0.4
	// startMargin is the part of the target that a request must have left when it
	// starts: more than the median, as prompts differ in length.
	startMargin = 0.7
	// workGrowth is the growth of a limit that is in use while answers are early.
	workGrowth = 1.1
	// workUse is the share of the limit that must be in use for it to grow.
	workUse = 0.8
	// deepestCut bounds a single change downwards.
	deepestCut = 0.4
	// rateTime is the time over which the throughput is averaged.
	rateTime = time.Second
)

// workLimit bounds the work that was sent to a pool and has no first answer yet.
// It answers a lasting overload, as after the loss of a failure domain: without
// it every request waits at the upstreams until all of them are late. What is
// held back here can still be refused as not run, and the rest is on time. It
// performs no I/O.
type workLimit struct {
	// value is the limit in tokens; infinite until the first overload.
	value float64
	// outstanding is the work without a first answer, and peak its highest value
	// since the last change.
	outstanding float64
	peak        float64
	samples     []float64
	changedAt   time.Time
	// loweredAt is when work was last held back; answers to earlier requests say
	// nothing about the present limit.
	loweredAt time.Time
	upstreams int
	// target is that of the latest request.
	target time.Duration
	// rate is the answered work per second.
	rate   float64
	rateAt time.Time
}

func newWorkLimit() *workLimit { return &workLimit{value: math.Inf(1)} }

// free reports whether more work may be sent. A pool without outstanding work
// always takes a request, however large.
func (l *workLimit) free() bool { return l.outstanding == 0 || l.outstanding < l.value }

// sent records work that was sent.
func (l *workLimit) sent(cost float64, target time.Duration) {
	l.outstanding += cost
	l.peak = max(l.peak, l.outstanding)
	if target > 0 {
		l.target = target
	}
}

// answered records the first answer to work that was sent at a time; took is 0
// when the attempt ended without one.
func (l *workLimit) answered(cost float64, target, took time.Duration, now time.Time) {
	l.outstanding = max(0, l.outstanding-cost)
	if took <= 0 {
		return
	}
	l.learnRate(cost, now)
	if target <= 0 || now.Add(-took).Before(l.loweredAt) {
		return
	}
	l.samples = append(l.samples, float64(took)/float64(target))
	if len(l.samples) > workSamples {
		l.samples = l.samples[1:]
	}
	l.adapt(now)
}

// learnRate updates the throughput.
func (l *workLimit) learnRate(cost float64, now time.Time) {
	if !l.rateAt.IsZero() {
		l.rate *= math.Exp(-now.Sub(l.rateAt).Seconds() / rateTime.Seconds())
	}
	l.rateAt = now
	l.rate += cost / rateTime.Seconds()
}

// tick looks at the oldest request without an answer: when all of them wait, no
// answer tells.
func (l *workLimit) tick(oldest time.Duration, now time.Time) {
	if l.target <= 0 || oldest <= l.target || now.Add(-oldest).Before(l.loweredAt) || len(l.samples) >= minWorkSamples {
		return
	}
	if now.Sub(l.changedAt) >= workEvery {
		l.lower(float64(oldest)/float64(l.target), now)
	}
}

func (l *workLimit) adapt(now time.Time) {
	if len(l.samples) < minWorkSamples || now.Sub(l.changedAt) < workEvery {
		return
	}
	middle := median(l.samples)
	switch {
	case middle > overloaded:
		l.lower(middle, now)
	case !math.IsInf(l.value, 1) && l.peak >= workUse*l.value:
		l.value *= workGrowth
		l.changedAt, l.peak = now, l.outstanding
	default:
		l.changedAt, l.peak = now, l.outstanding
	}
}

// lower sets the limit from the work that led to a median.
func (l *workLimit) lower(middle float64, now time.Time) {
	share := max(deepestCut, min(1, workGoal/middle))
	l.value = min(l.value, max(l.peak, l.outstanding)) * share
	l.changedAt, l.loweredAt, l.peak = now, now, l.outstanding
	l.samples = l.samples[:0]
}

// pool sizes the limit to the number of upstreams.
func (l *workLimit) pool(n int) {
	if n > 0 && l.upstreams > 0 && n != l.upstreams {
		l.value *= float64(n) / float64(l.upstreams)
	}
	if n > 0 {
		l.upstreams = n
	}
}

// wait estimates the time until this much waiting work has been sent; 0 when
// nothing is known.
func (l *workLimit) wait(cost float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(cost / l.rate * float64(time.Second))
}

func median(values []float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}
