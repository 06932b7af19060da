package admission

import "time"

const (
	// initialLimit is the limit until the number of upstreams is known.
	initialLimit = 64.0
	// initialLimitPerUpstream is the limit per upstream until the first token
	// arrives. Requests beyond the batch size of an engine wait there and can
	// no longer be refused as not run. Each first token within the target then
	// raises the limit, so that a small initial limit does not delay the first
	// requests for long.
	initialLimitPerUpstream = 8
	minLimit                = 4.0
	// maxLimit is twice the number of open requests per daemon at the target
	// size.
	maxLimit = 2100.0
	// limitWindow is the minimum time between two changes of a limit. Load
	// reports and latencies lag by about a second.
	limitWindow = time.Second
	// minLimitSamples is the minimum number of samples per change, so that one
	// slow answer at low traffic does not count as more than 5% of the answers.
	minLimitSamples     = 20
	limitDecreaseFactor = 0.9
	limitIncreaseShare  = 0.05
	// slowStartStep is the growth per first token within the target during the
	// slow start. A limit that is in use then doubles in about the time to the
	// first token.
	slowStartStep = 1.0
	// slowStartMinUse is the share of the limit that must be in use for it to
	// grow during the slow start.
	slowStartMinUse = 0.5
	// A trial of lower limits ends at trialLimitShare of its initial limit. If
	// the mean latency is then still above trialMaxLatencyShare of its initial
	// value, load is not the cause: the limit is restored and not lowered again
	// for trialPause.
	trialLimitShare      = 0.6
	trialMaxLatencyShare = 0.85
	trialPause           = 30 * time.Second
	// toleratedWaitingShare is the ratio of waiting to running requests at the
	// upstreams up to which the waiting ones do not count as a queue: they fill
	// the next batch.
	toleratedWaitingShare = 0.1
	// busyDecreaseFactor is applied to the number of open attempts when an
	// upstream's queue is full.
	busyDecreaseFactor = 0.7
	// minLimitPerUpstream attempts per upstream are always allowed. A batch of
	// that size does not slow an engine.
	minLimitPerUpstream = 2
)

// limit bounds the number of attempts that may be open at a pool at the same
// time. It decreases while more requests miss their target than the class
// allows and latency falls with it, and increases while it is reached and the
// targets are met. Slowness that does not depend on load, as of a slow version,
// must not throttle the pool; a trial of lower limits detects it.
type limit struct {
	value float64
	floor float64
	// hasGrown reports whether the limit has grown beyond its initial value.
	hasGrown bool
	// slowStartEnded reports whether the slow start has ended: more requests
	// than the class allows missed their target, or the upstreams reported a
	// queue or refused a request because of a full one.
	slowStartEnded bool
	// trialFrom and trialMean are the limit and the mean latency, relative to
	// the target, at the start of a trial. trialFrom is 0 outside a trial.
	trialFrom float64
	trialMean float64
	// pauseUntil is the end of trialPause after a trial without effect.
	pauseUntil time.Time
	// The following fields describe the window since windowStart: the number of
	// samples, how many missed their target, how many the classes allow to miss
	// it, the sum of the latencies relative to their targets, and the highest
	// number of open attempts.
	windowStart   time.Time
	samples       int
	missed        int
	allowedMisses float64
	ratioSum      float64
	peakInFlight  int
	// reportLoweredAt and busyLoweredAt are when applyReport and lowerForBusy
	// last lowered the limit.
	reportLoweredAt time.Time
	busyLoweredAt   time.Time
	// recentPeaks are the highest numbers of open attempts in the current
	// window, which began at recentSince, and in the previous one.
	recentPeaks [2]int
	recentSince time.Time
	// loweredAt is when a queue at the upstreams last lowered the limit.
	loweredAt time.Time
}

func newLimit() limit { return limit{value: initialLimit, floor: minLimit} }

// setUpstreamCount scales the floor to the number of upstreams, and also the limit
// as long as it has not grown and the slow start has not ended.
func (l *limit) setUpstreamCount(n int) {
	l.floor = max(minLimit, float64(n*minLimitPerUpstream))
	if n > 0 && !l.hasGrown && !l.slowStartEnded {
		l.value = min(maxLimit, float64(n*initialLimitPerUpstream))
	}
	l.value = max(l.value, l.floor)
}

// applyReport lowers the limit when requests wait at the upstreams, according
// to their load reports together. Such requests could wait here instead, where
// they can still be shed as not run, so the limit shrinks to the share that
// runs. It changes at most once per window, because reports lag. The share is
// taken of the recent peak of open attempts, which is close to their number at
// the time of the reports. Taken of the attempts that remain after a batch has
// ended, it would halve the limit again although the queue is gone.
func (l *limit) applyReport(running, waiting, inFlight int, now time.Time) {
	inFlight = l.recentPeak(inFlight, now)
	if float64(waiting) <= toleratedWaitingShare*float64(running) || now.Sub(l.reportLoweredAt) < limitWindow {
		return
	}
	l.reportLoweredAt, l.slowStartEnded = now, true
	share := float64(running) / float64(running+waiting)
	l.lowerTo(float64(inFlight)*share, now)
}

// lowerForBusy lowers the limit because an upstream refused a request with a
// full queue.
func (l *limit) lowerForBusy(inFlight int, now time.Time) {
	if now.Sub(l.busyLoweredAt) < limitWindow {
		return
	}
	l.busyLoweredAt, l.slowStartEnded = now, true
	l.lowerTo(float64(inFlight)*busyDecreaseFactor, now)
}

// lowerTo lowers the limit to value, but not below the floor. It never raises the
// limit.
func (l *limit) lowerTo(value float64, now time.Time) {
	if value = max(l.floor, value); value < l.value {
		l.value, l.loweredAt = value, now
	}
}

// recentPeak returns the highest number of open attempts that was passed to it
// in the last one to two windows.
func (l *limit) recentPeak(inFlight int, now time.Time) int {
	switch since := now.Sub(l.recentSince); {
	case since >= 2*limitWindow:
		l.recentPeaks, l.recentSince = [2]int{}, now
	case since >= limitWindow:
		l.recentPeaks, l.recentSince = [2]int{0, l.recentPeaks[0]}, now
	}
	l.recentPeaks[0] = max(l.recentPeaks[0], inFlight)
	return max(l.recentPeaks[0], l.recentPeaks[1])
}

func (l *limit) current() int { return int(l.value) }

func (l *limit) recordStart(inFlight int) { l.peakInFlight = max(l.peakInFlight, inFlight) }

// recordFirst adds the time to the first token as soon as it is known, because
// an answer of 200 tokens ends ten seconds later. Without a target, every
// answer counts as in time.
func (l *limit) recordFirst(r *Request, first time.Duration, inFlight int, now time.Time) {
	if first <= 0 {
		return
	}
	ratio := 0.0
	if r.FirstTarget > 0 {
		ratio = float64(first) / float64(r.FirstTarget)
	}
	if !l.slowStartEnded && ratio <= 1 && float64(inFlight) >= slowStartMinUse*l.value {
		l.value, l.hasGrown = min(maxLimit, l.value+slowStartStep), true
	}
	l.addSample(r, ratio, now)
}

// recordEnd adds the outcome of an attempt. The time to the first token counts
// only if recordFirst was not called for the attempt.
func (l *limit) recordEnd(r *Request, o Outcome, inFlight int, now time.Time) {
	if !o.OK {
		return
	}
	if !o.FirstReported {
		l.recordFirst(r, o.FirstLatency, inFlight, now)
	}
	if r.GapTarget > 0 && o.MeanGap > 0 {
		l.addSample(r, float64(o.MeanGap)/float64(r.GapTarget), now)
	}
}

// addSample adds a latency relative to its target and adapts the limit when the
// window is complete.
func (l *limit) addSample(r *Request, ratio float64, now time.Time) {
	l.samples++
	l.ratioSum += ratio
	l.allowedMisses += 1 - r.Within
	if ratio > 1 {
		l.missed++
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.tick(now)
}

// tick adapts the limit when a window is complete. It is also called on
// arrivals: while all slots are taken by long answers, there may be no sample
// for seconds.
func (l *limit) tick(now time.Time) {
	if l.samples >= minLimitSamples && now.Sub(l.windowStart) >= limitWindow {
		l.adapt(now)
	}
}

// adapt changes the limit according to the samples of the window, and starts
// the next window.
func (l *limit) adapt(now time.Time) {
	mean := l.ratioSum / float64(l.samples)
	switch {
	case float64(l.missed) > l.allowedMisses+1:
		l.slowStartEnded = true
		l.lower(mean, now)
	case float64(l.missed) <= l.allowedMisses:
		l.trialFrom = 0
		if float64(l.peakInFlight) >= 0.8*l.value {
			l.value = min(maxLimit, l.value+max(1, l.value*limitIncreaseShare))
		}
	}
	l.windowStart, l.samples, l.missed, l.allowedMisses, l.ratioSum, l.peakInFlight = now, 0, 0, 0, 0, 0
}

// lower reduces the limit as a step of a trial, or ends the trial; mean is the
// mean latency relative to the target.
func (l *limit) lower(mean float64, now time.Time) {
	if now.Before(l.pauseUntil) {
		return
	}
	if l.trialFrom == 0 {
		l.trialFrom, l.trialMean = l.value, mean
	}
	if l.value <= l.trialFrom*trialLimitShare {
		if mean > l.trialMean*trialMaxLatencyShare {
			l.value, l.trialFrom = l.trialFrom, 0
			l.pauseUntil = now.Add(trialPause)
			return
		}
		l.trialFrom, l.trialMean = l.value, mean
	}
	l.value = max(l.floor, l.value*limitDecreaseFactor)
}
