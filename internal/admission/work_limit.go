package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// workLimitInterval is the minimum time between two changes of a work
	// limit.
	workLimitInterval = 200 * time.Millisecond
	// workSamples is the number of latest answers that a decision is based on,
	// and minWorkSamples the minimum.
	workSamples    = 15
	minWorkSamples = 5
	// overloadRatio is the median time to the first answer, relative to the
	// target, above which the limit is lowered, and goalRatio the median that
	// it is lowered towards.
	overloadRatio = 0.55
	goalRatio     = 0.4
	// minTargetShareAtStart is the share of the target that must remain when a
	// request starts. It exceeds overloadRatio, because the time to the first
	// answer of a long prompt exceeds the median.
	minTargetShareAtStart = 0.7
	// workLimitIncreaseFactor is the growth of a limit that is in use while
	// answers are early.
	workLimitIncreaseFactor = 1.1
	// workLimitMinUse is the share of the limit that must be in use for it to
	// grow.
	workLimitMinUse = 0.8
	// minDecreaseFactor bounds a single decrease.
	minDecreaseFactor = 0.4
	// rateTimeConstant is the time constant of the moving average of the
	// throughput.
	rateTimeConstant = time.Second
	// capacityTimeConstant is the time constant with which the capacity falls to the
	// throughput.
	capacityTimeConstant = 10 * time.Second
)

// workLimit bounds the work that was sent to a pool and has no first answer
// yet. It is for lasting overload, as after the loss of a failure domain:
// without it, every request waits at the upstreams until all of them are late.
// Requests that wait here can still be refused as not run, and the remaining
// ones are on time. It performs no I/O.
type workLimit struct {
	// value is the limit in tokens; infinite until the first overload.
	value float64
	// outstanding is the work without a first answer, in tokens, and peak its
	// highest value since the last change.
	outstanding float64
	peak        float64
	samples     []float64
	changedAt   time.Time
	// loweredAt is when the limit was last lowered. Answers to requests that
	// were sent earlier do not reflect the present limit.
	loweredAt time.Time
	upstreams int
	// target is the first target of the latest request.
	target time.Duration
	// rate is the answered work in tokens per second, as of rateUpdatedAt.
	rate          float64
	rateUpdatedAt time.Time
	// capacity is the highest throughput of the recent past, in tokens per second. It
	// falls towards rate with capacityTimeConstant, as a lower throughput may only mean
	// that less was sent.
	capacity float64
	// strictest is the latest result of rankLimit.strictestRatio; 0 without ranks.
	strictest float64
}

func newWorkLimit() *workLimit { return &workLimit{value: math.Inf(1)} }

// hasCapacity reports whether more work may be sent. A pool without outstanding
// work always accepts a request, regardless of its size.
func (l *workLimit) hasCapacity() bool { return l.outstanding == 0 || l.outstanding < l.value }

// recordSent adds the work of a request that was sent.
func (l *workLimit) recordSent(cost float64, target time.Duration) {
	l.outstanding += cost
	l.peak = max(l.peak, l.outstanding)
	if target > 0 {
		l.target = target
	}
}

// recordFirstAnswer removes the work of a request that has its first answer or
// has ended. latency is the time since it was sent; 0 when the attempt ended
// without an answer.
func (l *workLimit) recordFirstAnswer(cost float64, target, latency time.Duration, now time.Time) {
	l.outstanding = max(0, l.outstanding-cost)
	if latency <= 0 {
		return
	}
	l.updateRate(cost, now)
	if target <= 0 || now.Add(-latency).Before(l.loweredAt) {
		return
	}
	l.samples = append(l.samples, float64(latency)/float64(target))
	if len(l.samples) > workSamples {
		l.samples = l.samples[1:]
	}
	l.adapt(now)
}

// updateRate adds answered work to the throughput.
func (l *workLimit) updateRate(cost float64, now time.Time) {
	if !l.rateUpdatedAt.IsZero() {
		elapsed := now.Sub(l.rateUpdatedAt).Seconds()
		l.rate *= math.Exp(-elapsed / rateTimeConstant.Seconds())
		l.capacity *= math.Exp(-elapsed / capacityTimeConstant.Seconds())
	}
	l.rateUpdatedAt = now
	l.rate += cost / rateTimeConstant.Seconds()
	l.capacity = max(l.capacity, l.rate)
}

// tick lowers the limit when the oldest request without an answer is beyond its
// target: while all of them wait, there are no answers to adapt to.
func (l *workLimit) tick(oldest time.Duration, now time.Time) {
	if l.target <= 0 || oldest <= l.target || now.Add(-oldest).Before(l.loweredAt) || len(l.samples) >= minWorkSamples {
		return
	}
	if now.Sub(l.changedAt) >= workLimitInterval {
		l.lower(float64(oldest)/float64(l.target), now)
	}
}

// adapt changes the limit according to the latest samples, at most once per
// workLimitInterval.
func (l *workLimit) adapt(now time.Time) {
	if len(l.samples) < minWorkSamples || now.Sub(l.changedAt) < workLimitInterval {
		return
	}
	medianRatio := max(median(l.samples), l.strictest)
	switch {
	case medianRatio > overloadRatio:
		l.lower(medianRatio, now)
	case !math.IsInf(l.value, 1) && l.peak >= workLimitMinUse*l.value:
		l.value *= workLimitIncreaseFactor
		l.changedAt, l.peak = now, l.outstanding
	default:
		l.changedAt, l.peak = now, l.outstanding
	}
}

// lower reduces the limit to the share of the sent work that is expected to meet
// goalRatio. ratio is the latency that this work led to, relative to the target:
// the median, or the age of the oldest request without an answer.
func (l *workLimit) lower(ratio float64, now time.Time) {
	share := max(minDecreaseFactor, min(1, goalRatio/ratio))
	l.value = min(l.value, max(l.peak, l.outstanding)) * share
	l.changedAt, l.loweredAt, l.peak = now, now, l.outstanding
	l.samples = l.samples[:0]
}

// setUpstreamCount scales the limit to the number of upstreams.
func (l *workLimit) setUpstreamCount(n int) {
	if n > 0 && l.upstreams > 0 && n != l.upstreams {
		l.value *= float64(n) / float64(l.upstreams)
		l.capacity *= min(1, float64(n)/float64(l.upstreams))
	}
	if n > 0 {
		l.upstreams = n
	}
}

// waitForWork estimates the time until waiting work of this cost has been sent;
// 0 when the throughput is unknown.
func (l *workLimit) waitForWork(cost float64) time.Duration {
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
