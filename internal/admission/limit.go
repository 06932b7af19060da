package admission

import "time"

const (
	startLimit = 64.0
	// startPerUpstream is the limit per upstream until the first token comes.
	// What exceeds the batch of an engine waits there and cannot be refused as
	// not run any more. Every first token within the target then raises the
	// limit, so that a small start does not delay the first requests for long.
	startPerUpstream = 8
	minLimit         = 4.0
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
	// slowStart is the growth per first token within the target until the
	// targets are first missed: a limit that is in use doubles in about the time
	// to the first token.
	slowStart = 1.0
	// slowStartUse is the share of the limit that must be in use for it to grow.
	slowStartUse = 0.5
	// A trial of lower limits ends at trialShare of its start. If latency is
	// then still above trialGain of what it was, load is not the cause, and the
	// limit is restored and left alone for trialPause.
	trialShare = 0.6
	trialGain  = 0.85
	trialPause = 30 * time.Second
	// reportedSlack is the share of waiting requests at the upstreams that a
	// batch which is about to be refilled explains.
	reportedSlack = 0.1
	// busyShare is what remains of the limit when an upstream's queue is full.
	busyShare = 0.7
	// perUpstream attempts per upstream are always allowed: a batch that small
	// does not slow an engine.
	perUpstream = 2
)

// limit is the number of attempts that may be open at a pool at once. It
// decreases while more requests miss their target than the class allows and
// latency follows, and increases while it is reached and the targets are met.
// Slowness that does not depend on load, as of a slow version, must not
// throttle the pool; trials tell the two apart.
type limit struct {
	value float64
	floor float64
	// grown says that the limit has left its start value.
	grown bool
	// missedOnce ends the slow start.
	missedOnce bool
	// trialFrom and trialMean are the limit and the mean latency, relative to
	// the target, at the start of a trial; 0 outside one.
	trialFrom   float64
	trialMean   float64
	pauseUntil  time.Time
	windowStart time.Time
	samples     int
	missed      int
	allowed     float64
	sum         float64
	peak        int
	// reportedAt and busyAt are when reported and busy last lowered the limit.
	reportedAt time.Time
	busyAt     time.Time
	// recent is the highest number of open attempts in this window and the
	// previous one, which began at recentSince.
	recent      [2]int
	recentSince time.Time
	// loweredAt is when a queue at the upstreams last lowered the limit.
	loweredAt time.Time
}

func newLimit() limit { return limit{value: startLimit, floor: minLimit} }

func (l *limit) upstreams(n int) {
	l.floor = max(minLimit, float64(n*perUpstream))
	if n > 0 && !l.grown && !l.missedOnce {
		l.value = min(maxLimit, float64(n*startPerUpstream))
	}
	l.value = max(l.value, l.floor)
}

// reported takes over what the upstreams report together. Requests that wait at
// an engine could wait here, where they can still be shed as not run, so the
// limit shrinks to the share that runs. It changes once per window, as reports
// lag. The share applies to the open attempts of the time of the reports:
// applied to those that remain once a batch has ended, it halved the limit
// again although the queue had gone.
func (l *limit) reported(running, waiting, inFlight int, now time.Time) {
	inFlight = l.recentPeak(inFlight, now)
	if float64(waiting) <= reportedSlack*float64(running) || now.Sub(l.reportedAt) < limitWindow {
		return
	}
	l.reportedAt, l.missedOnce = now, true
	share := float64(running) / float64(running+waiting)
	l.lowerTo(float64(inFlight)*share, now)
}

// busy lowers the limit because an upstream refused work for a full queue.
func (l *limit) busy(inFlight int, now time.Time) {
	if now.Sub(l.busyAt) < limitWindow {
		return
	}
	l.busyAt, l.missedOnce = now, true
	l.lowerTo(float64(inFlight)*busyShare, now)
}

func (l *limit) lowerTo(value float64, now time.Time) {
	if value = max(l.floor, value); value < l.value {
		l.value, l.loweredAt = value, now
	}
}

// recentPeak returns the highest number of open attempts that it was called
// with in the last one to two windows.
func (l *limit) recentPeak(inFlight int, now time.Time) int {
	switch since := now.Sub(l.recentSince); {
	case since >= 2*limitWindow:
		l.recent, l.recentSince = [2]int{}, now
	case since >= limitWindow:
		l.recent, l.recentSince = [2]int{0, l.recent[0]}, now
	}
	l.recent[0] = max(l.recent[0], inFlight)
	return max(l.recent[0], l.recent[1])
}

func (l *limit) current() int { return int(l.value) }

func (l *limit) started(inFlight int) { l.peak = max(l.peak, inFlight) }

// first takes the time to the first token into account as soon as it is known:
// an answer of 200 tokens ends ten seconds later.
// Without a target every answer counts as in time.
func (l *limit) first(r *Request, first time.Duration, inFlight int, now time.Time) {
	if first <= 0 {
		return
	}
	ratio := 0.0
	if r.FirstTarget > 0 {
		ratio = float64(first) / float64(r.FirstTarget)
	}
	if !l.missedOnce && ratio <= 1 && float64(inFlight) >= slowStartUse*l.value {
		l.value, l.grown = min(maxLimit, l.value+slowStart), true
	}
	l.sample(r, ratio, now)
}

// ended takes an outcome into account. The time to the first token counts only
// if first was not called for the attempt.
func (l *limit) ended(r *Request, o Outcome, inFlight int, now time.Time) {
	if !o.OK {
		return
	}
	if !o.FirstReported {
		l.first(r, o.First, inFlight, now)
	}
	if r.GapTarget > 0 && o.Gap > 0 {
		l.sample(r, float64(o.Gap)/float64(r.GapTarget), now)
	}
}

// sample takes a latency relative to its target and adapts the limit at the end
// of a window.
func (l *limit) sample(r *Request, ratio float64, now time.Time) {
	l.samples++
	l.sum += ratio
	l.allowed += 1 - r.Within
	if ratio > 1 {
		l.missed++
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.tick(now)
}

// tick adapts the limit if a window is complete. Arrivals call it as well: once
// all places are taken by long answers, no sample comes for seconds.
func (l *limit) tick(now time.Time) {
	if l.samples >= limitSamples && now.Sub(l.windowStart) >= limitWindow {
		l.adapt(now)
	}
}

func (l *limit) adapt(now time.Time) {
	mean := l.sum / float64(l.samples)
	switch {
	case float64(l.missed) > l.allowed+1:
		l.missedOnce = true
		l.lower(mean, now)
	case float64(l.missed) <= l.allowed:
		l.trialFrom = 0
		if float64(l.peak) >= 0.8*l.value {
			l.value = min(maxLimit, l.value+max(1, l.value*limitUp))
		}
	}
	l.windowStart, l.samples, l.missed, l.allowed, l.sum, l.peak = now, 0, 0, 0, 0, 0
}

func (l *limit) lower(mean float64, now time.Time) {
	if now.Before(l.pauseUntil) {
		return
	}
	if l.trialFrom == 0 {
		l.trialFrom, l.trialMean = l.value, mean
	}
	if l.value <= l.trialFrom*trialShare {
		if mean > l.trialMean*trialGain {
			l.value, l.trialFrom = l.trialFrom, 0
			l.pauseUntil = now.Add(trialPause)
			return
		}
		l.trialFrom, l.trialMean = l.value, mean
	}
	l.value = max(l.floor, l.value*limitDown)
}
