package routing

import "math"

// Defaults of Cost.
const (
	// DefaultSecondsPerRunning is the growth of the time to first token with
	// each request in the batch. 2 ms is small against a prompt of 1,000 tokens
	// (250 ms at the default rate), so that it decides only between upstreams
	// of about equal backlog.
	DefaultSecondsPerRunning = 0.002
	// DefaultPriceSeconds is the increase in the time to first token that is
	// accepted to save one currency unit per instance hour.
	DefaultPriceSeconds = 0.04
	// DefaultSlackSeconds and DefaultSlackShare bound the set of best
	// candidates. Differences below them are within the error of load reports
	// that lag by a second.
	DefaultSlackSeconds = 0.015
	DefaultSlackShare   = 0.1
	// secondsPerToken is the estimated generation time of one token, from which
	// the time that a request is exposed to a reclaim is computed.
	secondsPerToken = 0.03
	// kvPressureStart is the used share of cache memory above which engines
	// begin to evict prefixes and to preempt requests.
	kvPressureStart = 0.9
	// kvPressureSeconds is the cost per unit of used share above kvPressureStart:
	// 0.5 s when the memory is full.
	kvPressureSeconds = 5.0
	// failureSeconds is the cost of a failed attempt. At best the request is
	// repeated at another upstream, at worst it is lost.
	failureSeconds = 2.0
)

// Cost is the default policy. The score of a candidate is the expected time to
// first token in seconds, plus the expected cost of a reclaim and the price,
// both in seconds. Choosing between two random candidates among the best keeps
// daemons with the same load reports from choosing the same upstream.
type Cost struct {
	// SecondsPerRunning, PriceSeconds, SlackSeconds and SlackShare are described
	// at their defaults above. NewCost sets the defaults; a zero field counts as
	// 0.
	SecondsPerRunning float64
	PriceSeconds      float64
	SlackSeconds      float64
	SlackShare        float64
	// Terms are added to the score in this order.
	Terms []Term
}

// NewCost returns a Cost with the defaults.
func NewCost() *Cost {
	return &Cost{
		SecondsPerRunning: DefaultSecondsPerRunning,
		PriceSeconds:      DefaultPriceSeconds,
		SlackSeconds:      DefaultSlackSeconds,
		SlackShare:        DefaultSlackShare,
	}
}

// Score returns the cost of sending req to c, in seconds: the sum of the terms.
func (p *Cost) Score(req *Request, c *Candidate) float64 {
	score := p.reclaimAndPrice(req, c, p.firstToken(req, c))
	for _, term := range p.Terms {
		score += term(req, c)
	}
	return score
}

// firstToken returns the expected time to the first token, in seconds, including the
// expected cost of a failed attempt.
func (p *Cost) firstToken(req *Request, c *Candidate) float64 {
	uncached := max(0, float64(req.PromptTokens)-c.CachedTokens)
	slowness := c.Slowness
	if slowness <= 0 {
		slowness = 1
	}
	prefill := (c.BacklogTokens + uncached) / c.promptRate()
	if c.Pace > 0 {
		slowness *= c.Pace
	}
	first := (prefill + c.Running*p.SecondsPerRunning + c.WaitSeconds) * slowness
	if c.KVShare > kvPressureStart {
		first += (c.KVShare - kvPressureStart) * kvPressureSeconds
	}
	return first + c.FailureShare*failureSeconds
}

// reclaimAndPrice returns first, the expected time to the first token, plus the expected
// cost of a reclaim and the price.
func (p *Cost) reclaimAndPrice(req *Request, c *Candidate, first float64) float64 {
	if c.ReclaimsPerSecond == 0 {
		return first + c.PricePerHour*p.PriceSeconds
	}
	exposure := first + float64(req.MaxTokens)*secondsPerToken
	// On average, half of the answer exists when the upstream is reclaimed.
	// Prompt and answer must then be computed again at another one.
	recompute := (float64(req.PromptTokens) + float64(req.MaxTokens)/2) / c.promptRate()
	return first + c.ReclaimsPerSecond*exposure*recompute + c.PricePerHour*p.PriceSeconds
}

// minCachedShare is the cached share of a prompt below which a candidate does
// not count as holding it. minColdBlocks is the minimum number of blocks of a
// prompt that is placed by its hash when no candidate holds it.
const (
	minCachedShare = 0.1
	minColdBlocks  = 16
)

// maxScored is the size of the buffer of scores, which is on the stack.
const maxScored = 256

// Pick implements Policy. Candidates after the first 256 are not considered.
func (p *Cost) Pick(req *Request, candidates []Candidate) int {
	if len(candidates) < 2 {
		return len(candidates) - 1
	}
	candidates = candidates[:min(len(candidates), maxScored)]
	var scores [maxScored]float64
	best := math.Inf(1)
	for i := range candidates {
		scores[i] = p.Score(req, &candidates[i])
		if scores[i] < best {
			best = scores[i]
		}
	}
	if candidates[0].Pace > 0 {
		return p.pickByRoom(req, candidates, scores[:len(candidates)])
	}
	a, b := p.drawTwo(req, candidates, scores[:len(candidates)], best+p.SlackSeconds+best*p.SlackShare)
	if b < 0 {
		return a
	}
	// This daemon's open attempts are known without lag, so they take
	// precedence over the score.
	d := candidates[a].InFlight - candidates[b].InFlight
	if d > 0 || d == 0 && scores[b] < scores[a] {
		return b
	}
	return a
}

// coldKey returns the hash by which a long prompt that no candidate holds is placed, and whether
// it is one.
func coldKey(req *Request, candidates []Candidate) (key uint64, isCold bool) {
	if len(req.Blocks) < minColdBlocks {
		return 0, false
	}
	for i := range candidates {
		if candidates[i].CachedTokens >= minCachedShare*float64(req.PromptTokens) {
			return 0, false
		}
	}
	return req.Blocks[min(len(req.Blocks), prefixHashBlocks)-1], true
}

// drawTwo returns the indices of two candidates whose score is at most limit;
// the second is -1 when there is only one. The draw is random, except for a
// long prompt that no candidate holds: it then depends on the prompt's hash, so
// that daemons that receive the same new prefix at the same time send it to the
// same upstreams.
func (p *Cost) drawTwo(req *Request, candidates []Candidate, scores []float64, limit float64) (int, int) {
	source := bitSource(req.Rand)
	key, cold := coldKey(req, candidates)
	drawn := newHeaviest()
	for i := range candidates {
		if scores[i] > limit {
			continue
		}
		weight := source.next()
		if cold {
			hashed := bitSource(key ^ candidates[i].NameHash)
			weight = hashed.next()
		}
		drawn.add(i, weight)
	}
	return drawn.first, drawn.second
}
