package routing

import (
	"slices"
	"sync"
	"time"

	"rattantide/internal/membership"
)

const (
	// DefaultTokensPerSecond is the prompt processing rate assumed before any
	// first token was seen.
	DefaultTokensPerSecond = 4000.0
	minTokensPerSecond     = 200.0
	maxTokensPerSecond     = 400000.0
	// learnShare is the weight of a new observation in the running means.
	learnShare = 0.05
	// minLearnTokens is the shortest uncached prompt that says something about
	// the processing rate; shorter ones are dominated by fixed costs.
	minLearnTokens = 128
	// fixedSeconds is the part of the time to first token that does not depend
	// on the prompt.
	fixedSeconds = 0.01
	minSlowness  = 0.5
	maxSlowness  = 8.0
	// forgetAfter is how long the state of an upstream without attempts is kept
	// after it was last a candidate.
	forgetAfter = time.Minute
)

// Tracker keeps, for one pool, the state that candidates are built from: own
// open attempts, load reports, the cache index and reclaims. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	states  map[string]*upstreamState
	index   *Index
	used    slotSet
	hazards hazards
	rate    float64
	// meanTokens is the mean of uncached prompt tokens per attempt, by which
	// requests that wait at an upstream are converted to tokens.
	meanTokens float64
	start      time.Time
	swept      time.Duration
	found      matches
	// order holds the states of the last candidates by position, because lists
	// of upstreams rarely change between two decisions.
	order []*upstreamState
}

// NewTracker returns a Tracker whose index holds at most indexBlocks blocks;
// 0 means DefaultIndexBlocks.
func NewTracker(indexBlocks int) *Tracker {
	if indexBlocks <= 0 {
		indexBlocks = DefaultIndexBlocks
	}
	return &Tracker{
		states:     map[string]*upstreamState{},
		index:      NewIndex(indexBlocks),
		rate:       DefaultTokensPerSecond,
		meanTokens: 500,
	}
}

// Candidates appends a candidate for each upstream to into and returns it.
func (t *Tracker) Candidates(req *Request, upstreams []membership.Upstream, into []Candidate) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.match(req.Blocks, &t.found)
	perBlock := 0.0
	if len(req.Blocks) > 0 {
		perBlock = float64(req.PromptTokens) / float64(len(req.Blocks))
	}
	now := t.since(req.Now)
	first := len(into)
	into = slices.Grow(into, len(upstreams))[:first+len(upstreams)]
	for i := range upstreams {
		u := &upstreams[i]
		s := t.at(i, u)
		s.seenAt = now
		if u.Load != nil && u.Load.ReceivedAt != s.reportAt {
			s.absorb(u.Load, t.since(u.Load.ReceivedAt), t.meanTokens)
		}
		cached := 0.0
		if s.slot >= 0 {
			cached = float64(t.found[s.slot]) * perBlock
		}
		c := &into[first+i]
		c.Name = u.Name
		c.NameHash = s.hash
		c.PricePerHour = u.PricePerHour
		c.ReportedLoad = s.reported
		c.InFlight = s.inFlight
		c.Running = s.running
		c.BacklogTokens = s.backlogNow(now, t.rate)
		c.TokensPerSecond = t.rate
		c.Slowness = s.slowness
		c.CachedTokens = cached
		c.FailureShare = s.failures.now(now)
		c.KVShare = s.kvShare
		c.ReclaimsPerSecond = s.domain.hazard(u.Class, now)
	}
	if now-t.swept > forgetAfter {
		t.sweep(now)
	}
	return into
}

// Sent records that the attempt goes to the candidate and returns what End
// needs to know of it.
func (t *Tracker) Sent(req *Request, c *Candidate) Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(c.Name)
	uncached := max(0, float64(req.PromptTokens)-c.CachedTokens)
	now := t.since(req.Now)
	ahead := s.backlogNow(now, t.rate)
	t.meanTokens += learnShare * (uncached - t.meanTokens)
	s.sent(now, uncached, t.rate)
	if s.slot >= 0 {
		t.index.Sent(s.slot, req.Blocks)
	}
	return Sent{name: c.Name, ahead: ahead, uncached: uncached}
}

// FirstToken records the first token of an open attempt. Calling it is
// optional; Ended makes up for it.
func (t *Tracker) FirstToken(sent Sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[sent.name]; s != nil {
		s.pending = max(0, s.pending-sent.uncached)
	}
}

// Ended records the end of an attempt.
func (t *Tracker) Ended(sent Sent, f Feedback) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[sent.name]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.running = max(0, s.running-1)
	if f.OK || f.Failed {
		s.failures.observe(f.Failed, t.since(f.Now))
	}
	if s.inFlight == 0 {
		s.pending = 0
	} else if !f.FirstReported {
		s.pending = max(0, s.pending-sent.uncached)
	}
	if f.FirstToken > 0 {
		t.learn(s, sent, f)
	}
}

// learn updates the processing rate of the pool and the slowness of the
// upstream from an observed time to first token.
func (t *Tracker) learn(s *upstreamState, sent Sent, f Feedback) {
	uncached := sent.uncached
	if f.PromptTokens > 0 {
		uncached = float64(max(0, f.PromptTokens-f.CachedTokens))
	}
	work := sent.ahead + uncached
	seconds := f.FirstToken.Seconds()
	expected := fixedSeconds + work/t.rate
	ratio := min(max(seconds/expected, minSlowness), maxSlowness)
	s.slowness += learnShare * 2 * (ratio - s.slowness)
	if work >= minLearnTokens && seconds > fixedSeconds {
		rate := min(max(work/(seconds-fixedSeconds), minTokensPerSecond), maxTokensPerSecond)
		t.rate += learnShare * (rate - t.rate)
	}
}

// CacheEvents takes over events of an upstream, in order. upTo is the last
// sequence number that the upstream has issued, also when events is empty.
func (t *Tracker) CacheEvents(name string, upTo int64, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if s.slot < 0 {
		return
	}
	if upTo < s.lastEvent {
		// The numbers start again when the engine was restarted with an empty
		// cache.
		t.index.Clear(s.slot)
		s.lastEvent = -1
	}
	lost := int64(0)
	for len(events) > 0 && events[0].Seq <= s.lastEvent {
		// Overlapping polls return events twice.
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
	// Doubt what was held before the gap, then apply what is known since.
	if lost > 0 {
		t.index.Gap(s.slot, lost)
	}
	for _, e := range events {
		if e.Stored {
			t.index.Stored(s.slot, e.Block)
		} else {
			t.index.Removed(s.slot, e.Block)
		}
	}
}

// LastEvent returns the sequence number of the last cache event of an
// upstream, or 0.
func (t *Tracker) LastEvent(name string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		return max(0, s.lastEvent)
	}
	return 0
}

// Reclaimed records a reclaim in a failure domain.
func (t *Tracker) Reclaimed(domain string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hazards.domain(domain).reclaimed(t.since(now))
}

// InFlight returns this daemon's open attempts at an upstream.
func (t *Tracker) InFlight(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// since converts a time to the time from the tracker's start.
func (t *Tracker) since(now time.Time) time.Duration {
	if t.start.IsZero() {
		t.start = now
	}
	return now.Sub(t.start)
}

// at returns the state of the candidate at a position.
func (t *Tracker) at(i int, u *membership.Upstream) *upstreamState {
	for len(t.order) <= i {
		t.order = append(t.order, nil)
	}
	if s := t.order[i]; s != nil && s.name == u.Name {
		return s
	}
	s := t.state(u.Name)
	if s.domain == nil {
		s.domain = t.hazards.domain(u.Domain)
	}
	t.order[i] = s
	return s
}

func (t *Tracker) state(name string) *upstreamState {
	if s := t.states[name]; s != nil {
		return s
	}
	slot := -1
	for i := range maxSlots {
		if !t.used.has(i) {
			slot = i
			t.used.set(i)
			break
		}
	}
	s := newUpstreamState(name, slot)
	t.states[name] = s
	return s
}

// sweep forgets upstreams that are no longer candidates.
func (t *Tracker) sweep(now time.Duration) {
	t.swept = now
	clear(t.order)
	for name, s := range t.states {
		if s.inFlight > 0 || now-s.seenAt < forgetAfter {
			continue
		}
		if s.slot >= 0 {
			t.index.Clear(s.slot)
			t.used.clear(s.slot)
		}
		delete(t.states, name)
	}
}
