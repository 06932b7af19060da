package routing

import "time"

const (
	// paceHalfAge is the age at which a reported pace counts half; the mean pace of the pool
	// counts for the other half. Upstreams that are slow for a moment are so for some hundred
	// milliseconds.
	paceHalfAge = 400 * time.Millisecond
	// minLoadHalfAge is the shortest age at which a reported number of requests counts half.
	// It is otherwise the time for which a request holds a slot, after which the requests in
	// the report are others.
	minLoadHalfAge = 100 * time.Millisecond
	maxLoadHalfAge = 5 * time.Second
	// defaultHoldSeconds is the time for which a request holds a slot before one was measured.
	defaultHoldSeconds = 0.1
	// maxHoldSeconds bounds one measurement of that time.
	maxHoldSeconds = 60.0
	// minHoldShare is the smallest share of the total time of an attempt that is attributed
	// to the time in a slot.
	minHoldShare = 0.25
	// runningStep is the weight of one attempt in the estimate of runningSeconds, and
	// maxRunningSeconds bounds the estimate.
	runningStep       = 0.02
	maxRunningSeconds = 1.0
	// newReportAge is the age up to which a report counts as new. The exchange delivers
	// reports of most upstreams within it.
	newReportAge = time.Second
	// reportDelay is the mean time from a choice to a report that includes it at the daemons:
	// messages go out several times a second and reach daemons through a collector.
	reportDelay = 200 * time.Millisecond
	// speedHalfAge is the time without measurements after which a lasting speed counts half.
	speedHalfAge = 2 * time.Minute
	// sharpWait is the width, in requests, of the transition between no wait and a wait at a
	// full upstream if its report is new. It lets a free slot count more at an upstream with
	// many of them.
	sharpWait = 0.5
	// staleWaitShare is the share of the slots by which the width grows as a report ages: a
	// pool at half of its slots then has some full upstreams.
	staleWaitShare = 0.3
)

// poolState holds what is common to the upstreams of a pool whose upstreams report slots and
// pace. An upstream whose own report is old or missing counts as an average one.
type poolState struct {
	// meanShare is the mean number of requests per slot, meanSlots that of slots, and meanPace
	// that of the pace, in the reports.
	meanShare, meanSlots, meanPace float64
	// holdSeconds is the mean time for which a request holds a slot at the usual pace; 0
	// before the first measurement.
	holdSeconds float64
	// runningSeconds is the mean growth of the time to the first answer with each request at
	// the upstream, at the usual pace and speed.
	runningSeconds float64
}

// observe adds a report to the means.
func (p *poolState) observe(reported *reportedState) {
	if reported.slots == 0 {
		return
	}
	slots := reported.slots
	share := reported.occupancy * reported.slotTime
	if p.meanSlots == 0 {
		p.meanShare, p.meanSlots, p.meanPace = share, slots, reported.pace
		return
	}
	p.meanShare += meanWeight * (share - p.meanShare)
	p.meanSlots += meanWeight * (slots - p.meanSlots)
	p.meanPace += meanWeight * (reported.pace - p.meanPace)
}

// observeHold adds the total time of an attempt that was answered.
func (p *poolState) observeHold(seconds float64, sent *SentAttempt) {
	seconds = min(seconds, maxHoldSeconds) / sent.pace
	if seconds <= 0 {
		return
	}
	wait := sent.waitSeconds
	if sent.uncachedTokens == 0 {
		wait = max(0, wait-p.hold())
	}
	sample := max(seconds-wait, seconds*minHoldShare)
	if p.holdSeconds == 0 {
		p.holdSeconds = sample
		return
	}
	p.holdSeconds += meanWeight * (sample - p.holdSeconds)
}

// observeRunning adds the time to the first answer of an attempt beyond the one that is
// expected without other requests, which found a number of requests.
func (p *poolState) observeRunning(seconds, requests float64) {
	step := runningStep * (seconds - p.runningSeconds*requests) * requests / (requests*requests + 1)
	p.runningSeconds = min(max(0, p.runningSeconds+step), maxRunningSeconds)
}

// hold returns holdSeconds, or its default before the first measurement.
func (p *poolState) hold() float64 {
	if p.holdSeconds == 0 {
		return defaultHoldSeconds
	}
	return p.holdSeconds
}

// halfWeight returns a weight that falls with the age and is 1 at age 0 and 0.5 at half.
func halfWeight(age, half float64) float64 {
	square := half * half
	return square / (square + age*age)
}

// newEstimator returns the part of the estimates that is common to the candidates of a
// decision.
func (p *poolState) newEstimator(now time.Duration, isPlain bool, prefill float64) estimator {
	hold := p.hold()
	half := min(max(hold, minLoadHalfAge.Seconds()), maxLoadHalfAge.Seconds())
	e := estimator{
		now: now, hold: hold, meanShare: p.meanShare, meanPace: p.meanPace, perLoadHorizon: 1 / (half * horizonFactor),
		unknown: reportedState{slots: p.meanSlots, slotTime: 1 / p.meanSlots, occupancy: p.meanShare * p.meanSlots, pace: p.meanPace},
	}
	e.running = p.runningSeconds
	// Some of the prompts of the requests that are not yet reported are still being processed.
	e.added = max(e.running, DefaultSecondsPerRunning) + prefill*prefill/(prefill+2*reportDelay.Seconds())
	e.arrivalsPerRunning = 1 / (hold * p.meanPace)
	if isPlain {
		e.service, e.added, e.running = hold, 0, 0
	}
	return e
}
