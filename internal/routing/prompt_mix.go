package routing

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxDiversion is the bound on the delay that PromptDelay makes a request accept, as a
	// share of the request's own target. The rest of the target is left for an error of the
	// estimate and for a second attempt.
	maxDiversion = 0.25
	// longShare is the ratio of a prompt's processing time to the tightest target of the pool
	// from which the prompt counts as long: 6,400 tokens for 40 tokens per millisecond and
	// a target of 400 ms. Between 0.25 and 0.5, the results differ by less than
	// those of two seeds. minLongRatio is the minimum ratio of its uncached tokens to the
	// mean prompt of the pool's class with the shortest ones; it bounds the error while the
	// processing rate has not been learned yet.
	longShare    = 0.4
	minLongRatio = 2.0
	// gatherBusy is the share of time in which a gathering upstream is to process long
	// prompts. At one half, a long prompt waits for about one other on average.
	gatherBusy = 0.5
	// borderInterval is the shortest time between two changes of the number of gathering
	// upstreams. growHysteresis and shrinkHysteresis are the relative differences below which
	// the number does not change. Even with slowHalfLife, the estimated work varies by about a
	// quarter at a daemon that serves one long prompt per second. The set shrinks less readily,
	// because a set that is too small makes long prompts delay each other, and one that is too
	// large is only less used.
	borderInterval   = 500 * time.Millisecond
	growHysteresis   = 0.1
	shrinkHysteresis = 0.4
	// minPoolShare is the share of the previous number of candidates from which they count as
	// the whole pool. Requests of the other version of a move, and later attempts, have
	// fewer. A third of a pool may leave within a second; after poolSizeRetention without
	// more candidates, the pool has shrunk even further.
	minPoolShare      = 0.6
	poolSizeRetention = 3 * time.Second
	// minObserved is the number of requests with a prompt after which the term has an effect.
	// The processing rate of Tracker starts at a tenth of that of a fast engine, and has come
	// to within 5% of it by then.
	minObserved = 60
)

// PromptMix learns from the requests of one pool how their prompts differ in length, and
// determines the upstreams at which long prompts gather: those with the lowest NameHash, as
// many as the work of the long prompts needs. All daemons rank the upstreams alike without
// messages. It is safe for concurrent use.
type PromptMix struct {
	// Daemons returns the number of daemons that share the pool; nil stands for one.
	Daemons func() int

	mu       sync.Mutex
	start    time.Time
	classes  promptClasses
	perToken float64
	work     longWork
	borderAt time.Duration
	// poolSize is the number of candidates when the border was moved last, at poolSizeAt.
	poolSize   int
	poolSizeAt time.Duration
	// gathering is the number of gathering upstreams, and limit the highest NameHash of them.
	gathering int
	limit     uint64
	room      promptRoom
	// observed is the number of requests with a prompt.
	observed int
}

// View returns the view for a request of a class that one of the candidates is to be chosen
// for. It changes nothing.
func (m *PromptMix) View(class *PromptClass, req *Request, candidates []Candidate) PromptView {
	v := m.poolView(class)
	if v.IsOn() {
		v.setLeastDelay(req, candidates)
	}
	return v
}

// poolView returns the view without what depends on the request and the candidates.
func (m *PromptMix) poolView(class *PromptClass) PromptView {
	m.mu.Lock()
	defer m.mu.Unlock()
	target := class.FirstTarget.Seconds()
	if !m.classes.differ || m.observed < minObserved || m.room.freshness <= 0 || target <= 0 || m.classes.tightest <= 0 {
		return PromptView{}
	}
	mean := m.work.weightedMeanTokens() * m.perToken
	weight := min(1, mean/m.classes.tightest)
	busy := min(gatherBusy, m.poolWork()/float64(m.gathering))
	return PromptView{
		limitSeconds: target * maxDiversion * m.room.freshness, targetSeconds: target, slackSeconds: m.classes.tightest, inverseSlack: 1 / m.classes.tightest,
		secondsPerToken: m.perToken, longTokens: m.longTokens(), gatherLimit: m.limit,
		exposureRate: m.room.share * busy * weight * weight,
	}
}

// longTokens returns the number of uncached tokens from which a prompt counts as long.
func (m *PromptMix) longTokens() float64 {
	return max(m.classes.tightest*longShare/m.perToken, m.classes.shortest*minLongRatio)
}

// poolWork returns the number of upstreams that the long prompts of all daemons keep busy.
func (m *PromptMix) poolWork() float64 {
	daemons := 1
	if m.Daemons != nil {
		daemons = max(1, m.Daemons())
	}
	return m.work.tokensPerSecond() * m.perToken * float64(daemons)
}

// Observe records that a request of a class is sent to the candidate at index chosen.
func (m *PromptMix) Observe(class *PromptClass, req *Request, candidates []Candidate, chosen int) {
	if req.PromptTokens <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.start.IsZero() {
		m.start = req.Now
	}
	now := req.Now.Sub(m.start)
	m.observed++
	c := &candidates[chosen]
	m.perToken = 1 / c.promptRate()
	m.classes.observe(class, float64(req.PromptTokens), now)
	if now-m.borderAt >= borderInterval || m.gathering == 0 {
		m.classes.summarize(now)
		m.moveBorder(candidates, now)
	}
	if m.classes.tightest <= 0 {
		return
	}
	uncached := max(0, float64(req.PromptTokens)-c.CachedTokens)
	m.work.observe(uncached, uncached >= m.longTokens(), now)
}

// moveBorder adapts the number of gathering upstreams to the work of the long prompts.
func (m *PromptMix) moveBorder(candidates []Candidate, now time.Duration) {
	m.borderAt = now
	candidates = candidates[:min(len(candidates), maxScored)]
	if float64(len(candidates)) < minPoolShare*float64(m.poolSize) && now-m.poolSizeAt < poolSizeRetention {
		return
	}
	m.poolSize, m.poolSizeAt = len(candidates), now
	wanted := m.poolWork() / gatherBusy
	size := float64(m.gathering)
	if wanted > size*(1+growHysteresis) || wanted < size-max(1, shrinkHysteresis*size) {
		m.gathering = int(math.Ceil(wanted))
	}
	m.gathering = min(max(m.gathering, 1), len(candidates))
	var hashes [maxScored]uint64
	for i := range candidates {
		hashes[i] = candidates[i].NameHash
	}
	ranked := hashes[:len(candidates)]
	slices.Sort(ranked)
	m.limit = ranked[m.gathering-1]
	m.room.update(candidates, m.limit)
}
