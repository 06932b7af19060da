package routing

import (
	"slices"
	"sync"
	"time"

	"rattantide/internal/membership"
)

const (
	// DefaultTokensPerSecond is the prompt processing rate that is assumed
	// until the first token of an attempt has been received.
	DefaultTokensPerSecond = 4000.0
	minTokensPerSecond     = 200.0
	maxTokensPerSecond     = 400000.0
	// meanWeight is the weight of a new observation in the running means.
	meanWeight = 0.05
	// minLearnTokens is the minimum number of prompt tokens that were processed
	// before the first token of an attempt for the processing rate to be
	// estimated from it. With fewer, the time is dominated by fixed costs.
	minLearnTokens = 128
	// fixedFirstTokenSeconds is the time to first token that does not depend on
	// the prompt.
	fixedFirstTokenSeconds = 0.01
	minSlowness            = 0.5
	maxSlowness            = 8.0
	// minLastingSlowness is minSlowness for an attempt whose time is compared with the one that
	// follows from the upstream's report, which may be too long by as much as too short.
	minLastingSlowness = 1 / maxSlowness
	// stateRetention is how long the state of an upstream without open attempts
	// is retained after it was last a candidate.
	stateRetention = time.Minute
)

// Tracker maintains, for one pool, the state from which candidates are built:
// this daemon's open attempts, load reports, the cache index and reclaims. It
// is safe for concurrent use.
type Tracker struct {
	mu              sync.Mutex
	states          map[string]*upstreamState
	index           *Index
	usedSlots       slotSet
	reclaimRates    reclaimRates
	tokensPerSecond float64
	// meanTokens is the mean number of uncached prompt tokens per attempt. It
	// converts the number of requests that wait at an upstream to tokens.
	meanTokens float64
	pool       poolState
	// usesReports reports whether most candidates of the latest decision had new reports, so
	// that the next decision is based on them.
	usesReports bool
	onSlowness  func(SlownessSample)
	startTime   time.Time
	sweptAt     time.Duration
	matched     matchCounts
	// byPosition contains the states of the latest candidates by position,
	// because the list of upstreams rarely changes between two decisions.
	byPosition []*upstreamState
}

// NewTracker returns a Tracker whose index holds at most indexBlocks blocks;
// 0 means DefaultIndexBlocks.
func NewTracker(indexBlocks int) *Tracker {
	if indexBlocks <= 0 {
		indexBlocks = DefaultIndexBlocks
	}
	return &Tracker{
		states:          map[string]*upstreamState{},
		index:           NewIndex(indexBlocks),
		tokensPerSecond: DefaultTokensPerSecond,
		meanTokens:      500,
	}
}

// Candidates appends a candidate for each upstream to buffer and returns the
// extended slice. The positions match those of upstreams.
func (t *Tracker) Candidates(req *Request, upstreams []membership.Upstream, buffer []Candidate) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.countMatches(req.Blocks, &t.matched)
	tokensPerBlock := 0.0
	if len(req.Blocks) > 0 {
		tokensPerBlock = float64(req.PromptTokens) / float64(len(req.Blocks))
	}
	now := t.since(req.Now)
	first := len(buffer)
	buffer = slices.Grow(buffer, len(upstreams))[:first+len(upstreams)]
	usesReports := t.usesReports
	var e estimator
	if usesReports {
		e = t.pool.newEstimator(now, req.PromptTokens == 0, t.meanTokens/t.tokensPerSecond)
	}
	newReports := 0
	for i := range upstreams {
		u := &upstreams[i]
		s := t.stateAt(i, u)
		s.lastCandidateAt = now
		// Another process has another report or another generation.
		if u.Load != s.report || u.Generation != s.process.generation {
			t.update(s, u)
		}
		cached := 0.0
		if s.slot >= 0 {
			cached = float64(t.matched[s.slot]) * tokensPerBlock
		}
		c := &buffer[first+i]
		c.Name = u.Name
		c.NameHash = s.nameHash
		c.PricePerHour = u.PricePerHour
		c.ReportedLoad = s.reportedLoad
		c.InFlight = s.inFlight
		c.Running = s.running
		c.BacklogTokens = s.backlogTokensAt(now, t.tokensPerSecond)
		c.TokensPerSecond = t.tokensPerSecond
		c.Slowness = s.slowness
		c.CachedTokens = cached
		c.FailureShare = s.failures.valueAt(now)
		c.KVShare = s.kvShare
		c.ReclaimsPerSecond = s.domain.reclaimRate(u.Class, now)
		if s.reported.slots > 0 && now-s.reported.takenAt < newReportAge {
			newReports++
		}
		if usesReports {
			e.estimate(s, c)
		} else {
			s.clearReportedState(c)
		}
	}
	// Without new reports of most candidates, the choice is that of a daemon without any
	// report: old ones lead all daemons to the same upstreams.
	if t.usesReports = newReports > 0 && 2*newReports >= len(upstreams); t.usesReports && !usesReports {
		e = t.pool.newEstimator(now, req.PromptTokens == 0, t.meanTokens/t.tokensPerSecond)
		for i := range upstreams {
			e.estimate(t.byPosition[i], &buffer[first+i])
		}
	}
	applyAffinity(req, buffer[first:])
	if now-t.sweptAt > stateRetention {
		t.sweep(now)
	}
	return buffer
}

// update applies the load report of an upstream, and discards the state of an earlier process
// or version.
func (t *Tracker) update(s *upstreamState, u *membership.Upstream) {
	if !s.process.matches(u) {
		s.beginProcess(newUpstreamProcess(u))
	}
	if u.Load != nil && u.Load != s.report {
		s.applyReport(u.Load, t.since(u.Load.ReceivedAt), t.meanTokens)
		t.pool.observe(&s.reported)
	}
}

// RecordSent records that an attempt is sent to the candidate. The result is passed
// to RecordFirstToken and RecordEnd.
func (t *Tracker) RecordSent(req *Request, c *Candidate) SentAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureState(c.Name)
	uncached := max(0, float64(req.PromptTokens)-c.CachedTokens)
	now := t.since(req.Now)
	queued := s.backlogTokensAt(now, t.tokensPerSecond)
	t.meanTokens += meanWeight * (uncached - t.meanTokens)
	s.recordSent(now, uncached, t.tokensPerSecond)
	if s.slot >= 0 {
		t.index.RecordSent(s.slot, req.Blocks)
	}
	return SentAttempt{name: c.Name, queuedTokens: queued, uncachedTokens: uncached, at: now, waitSeconds: c.WaitSeconds, pace: c.Pace,
		running: c.Running, slowness: c.Slowness, runningSeconds: t.pool.runningSeconds * c.Running}
}

// RecordFirstToken records the first token of an open attempt. Calling it is
// optional; RecordEnd has the same effect for attempts without a call.
func (t *Tracker) RecordFirstToken(sent SentAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[sent.name]; s != nil {
		s.pendingTokens = max(0, s.pendingTokens-sent.uncachedTokens)
	}
}

// RecordEnd records the end of an attempt.
func (t *Tracker) RecordEnd(sent SentAttempt, f Feedback) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[sent.name]
	if s == nil {
		return
	}
	s.recordEnd(sent.at)
	if f.OK || f.Failed {
		s.failures.observe(f.Failed, t.since(f.Now))
	}
	if s.inFlight == 0 {
		s.pendingTokens = 0
	} else if !f.FirstReported {
		s.pendingTokens = max(0, s.pendingTokens-sent.uncachedTokens)
	}
	if f.FirstToken > 0 {
		t.updateRates(s, sent, f)
	}
	if f.OK && sent.pace > 0 && !f.Now.IsZero() {
		t.pool.observeHold((t.since(f.Now) - sent.at).Seconds(), &sent)
	}
}

// updateRates updates the processing rate of the pool and the slowness of the
// upstream from the observed time to first token of an attempt.
func (t *Tracker) updateRates(s *upstreamState, sent SentAttempt, f Feedback) {
	uncached := sent.uncachedTokens
	if f.PromptTokens > 0 {
		uncached = float64(max(0, f.PromptTokens-f.CachedTokens))
	}
	work := sent.queuedTokens + uncached
	seconds := f.FirstToken.Seconds()
	expected := fixedFirstTokenSeconds + work/t.tokensPerSecond
	ratio := min(max(seconds/expected, minSlowness), maxSlowness)
	s.slowness += meanWeight * 2 * (ratio - s.slowness)
	if sent.pace > 0 && !f.Now.IsZero() {
		seconds = t.updateLastingSlowness(s, sent, seconds, work, t.since(f.Now))
	}
	if work >= minLearnTokens && seconds > fixedFirstTokenSeconds {
		rate := min(max(work/(seconds-fixedFirstTokenSeconds), minTokensPerSecond), maxTokensPerSecond)
		t.tokensPerSecond += meanWeight * (rate - t.tokensPerSecond)
	}
}

// updateLastingSlowness updates the lasting slowness of an upstream that reports its pace, and the effect
// of running requests. It returns the time that is due to the prompt.
func (t *Tracker) updateLastingSlowness(s *upstreamState, sent SentAttempt, seconds, work float64, now time.Duration) float64 {
	// The upstream's report explains a part of the time. The rest is due to its lasting
	// speed, even if the report is wrong.
	seconds /= sent.pace
	expected := sent.waitSeconds
	if work > 0 {
		expected += fixedFirstTokenSeconds + work/t.tokensPerSecond
	}
	if expected <= 0 {
		return seconds
	}
	ratio := min(max(seconds/expected, minLastingSlowness), maxSlowness)
	s.addSlownessSample(ratio, now)
	if t.onSlowness != nil {
		t.onSlowness(SlownessSample{Upstream: s.name, Address: s.process.address, Generation: s.process.generation, Ratio: ratio})
	}
	if work > 0 {
		t.pool.observeRunning(seconds/sent.slowness-expected+sent.runningSeconds, sent.running)
	}
	return seconds - sent.waitSeconds
}

// ApplyCacheEvents applies cache events of an upstream, in order. upTo is the last
// sequence number that the upstream has issued, even when events is empty.
func (t *Tracker) ApplyCacheEvents(name string, upTo int64, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ensureState(name)
	if s.slot < 0 {
		return
	}
	if upTo < s.lastEvent {
		// The sequence numbers restart when the engine was restarted, which
		// also empties its cache.
		t.index.Clear(s.slot)
		s.lastEvent = -1
	}
	lost := int64(0)
	for len(events) > 0 && events[0].Seq <= s.lastEvent {
		// Overlapping polls return the same events twice.
		events = events[1:]
	}
	for _, e := range events {
		if s.lastEvent >= 0 {
			lost += e.Seq - s.lastEvent - 1
		}
		s.lastEvent = e.Seq
	}
	if upTo > s.lastEvent {
		if s.lastEvent >= 0 {
			lost += upTo - s.lastEvent
		}
		s.lastEvent = upTo
	}
	// Mark the blocks from before the gap as uncertain first, then apply the
	// events that were received.
	if lost > 0 {
		t.index.RecordGap(s.slot, lost)
	}
	for _, e := range events {
		if e.Stored {
			t.index.RecordStored(s.slot, e.Block)
		} else {
			t.index.RecordRemoved(s.slot, e.Block)
		}
	}
}

// LastEvent returns the sequence number of the last cache event of an
// upstream, or 0 if there was none.
func (t *Tracker) LastEvent(name string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		return max(0, s.lastEvent)
	}
	return 0
}

// RecordReclaim records a reclaim in a failure domain.
func (t *Tracker) RecordReclaim(domain string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reclaimRates.domain(domain).recordReclaim(t.since(now))
}

// InFlight returns the number of this daemon's open attempts at an upstream.
func (t *Tracker) InFlight(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// since converts a time to a duration since the tracker's start, which is the
// first time that is passed.
func (t *Tracker) since(now time.Time) time.Duration {
	if t.startTime.IsZero() {
		t.startTime = now
	}
	return now.Sub(t.startTime)
}

// stateAt returns the state of the candidate at a position.
func (t *Tracker) stateAt(i int, u *membership.Upstream) *upstreamState {
	for len(t.byPosition) <= i {
		t.byPosition = append(t.byPosition, nil)
	}
	if s := t.byPosition[i]; s != nil && s.name == u.Name {
		return s
	}
	s := t.ensureState(u.Name)
	t.update(s, u)
	if s.domain == nil {
		s.domain = t.reclaimRates.domain(u.Domain)
	}
	t.byPosition[i] = s
	return s
}

// ensureState returns the state of an upstream and creates it if necessary. An
// upstream beyond maxSlots has slot -1 and is not in the cache index.
func (t *Tracker) ensureState(name string) *upstreamState {
	if s := t.states[name]; s != nil {
		return s
	}
	slot := -1
	for i := range maxSlots {
		if !t.usedSlots.has(i) {
			slot = i
			t.usedSlots.add(i)
			break
		}
	}
	s := newUpstreamState(name, slot)
	t.states[name] = s
	return s
}

// sweep discards the state of upstreams that are no longer candidates.
func (t *Tracker) sweep(now time.Duration) {
	t.sweptAt = now
	clear(t.byPosition)
	for name, s := range t.states {
		if s.inFlight > 0 || now-s.lastCandidateAt < stateRetention {
			continue
		}
		if s.slot >= 0 {
			t.index.Clear(s.slot)
			t.usedSlots.remove(s.slot)
		}
		delete(t.states, name)
	}
}
