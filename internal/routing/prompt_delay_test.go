package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

var (
	chatPrompts = PromptClass{Name: "chat", FirstTarget: 500 * time.Millisecond, PauseTarget: 400 * time.Millisecond}
	longPrompts = PromptClass{Name: "long", FirstTarget: 1500 * time.Millisecond, PauseTarget: 400 * time.Millisecond}
)

const enginePromptRate = 40_000.0

// promptCandidates returns n alike candidates that run eight requests each.
func promptCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		name := fmt.Sprintf("u%d", i)
		out[i] = Candidate{Name: name, NameHash: xxhash.Sum64String(name), TokensPerSecond: enginePromptRate, Running: 8, Slots: 16}
	}
	return out
}

// observePrompts records requests of the daemon for a time: chats per second and long prompts
// per second, of the given lengths, spread over the candidates. It returns the time of its end.
func observePrompts(m *PromptMix, from time.Time, seconds int, chats, longs, longTokens int, candidates []Candidate) time.Time {
	for s := range seconds {
		at := from.Add(time.Duration(s) * time.Second)
		for i := range chats {
			req := &Request{PromptTokens: 700, MaxTokens: 300, Now: at.Add(time.Duration(i) * time.Second / time.Duration(chats))}
			m.Observe(&chatPrompts, req, candidates, i%len(candidates))
		}
		for i := range longs {
			req := &Request{PromptTokens: longTokens, MaxTokens: 80, Now: at.Add(time.Duration(i) * time.Second / time.Duration(longs))}
			m.Observe(&longPrompts, req, candidates, i%len(candidates))
		}
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

// mixedPrompts returns the mix after half a minute of ten chats and a long prompt per second.
func mixedPrompts(candidates []Candidate) (*PromptMix, time.Time) {
	m := &PromptMix{Daemons: func() int { return 6 }}
	return m, observePrompts(m, time.Unix(1000, 0), 30, 10, 1, 20_000, candidates)
}

func gatheringCount(m *PromptMix, candidates []Candidate) int {
	req := &Request{PromptTokens: 20_000}
	v, n := m.View(&longPrompts, req, candidates), 0
	for i := range candidates {
		if v.Gathers(&candidates[i]) {
			n++
		}
	}
	return n
}

// Guards against a long prompt that is placed beside running answers although few upstreams run
// none, and against chats that use the upstreams at which long prompts gather.
func TestLongPromptsGather(t *testing.T) {
	candidates := promptCandidates(24)
	m, now := mixedPrompts(candidates)
	n := gatheringCount(m, candidates)
	// Six daemons send six prompts of half a second per second: three upstreams' work, with
	// each busy for half of the time.
	assert.Assert(t, n >= 4 && n <= 8, "%d upstreams", n)
	policy := NewCost()
	policy.Terms = append(policy.Terms, PromptDelay)
	// Chats have left the gathering upstreams.
	limit := m.limit
	for i := range candidates {
		if candidates[i].NameHash <= limit {
			candidates[i].Running = 1
		}
	}
	longs, chats := 0, 0
	for i := range 200 {
		req := &Request{PromptTokens: 20_000, MaxTokens: 80, Rand: uint64(i), Now: now}
		req.Prompts = m.View(&longPrompts, req, candidates)
		if candidates[policy.Pick(req, candidates)].NameHash <= limit {
			longs++
		}
		req = &Request{PromptTokens: 700, MaxTokens: 300, Rand: uint64(i), Now: now}
		req.Prompts = m.View(&chatPrompts, req, candidates)
		if candidates[policy.Pick(req, candidates)].NameHash <= limit {
			chats++
		}
	}
	assert.Equal(t, longs, 200)
	assert.Equal(t, chats, 0)
}

// Guards against a prompt that is treated as a long one at an upstream that has its shared
// parts in the cache.
func TestCachedLongPromptCountsAsShort(t *testing.T) {
	candidates := promptCandidates(24)
	m, now := mixedPrompts(candidates)
	other := 0
	for candidates[other].NameHash <= m.limit {
		other++
	}
	req := &Request{PromptTokens: 9000, MaxTokens: 80, Now: now}
	req.Prompts = m.View(&longPrompts, req, candidates)
	uncached := PromptDelay(req, &candidates[other])
	candidates[other].CachedTokens = 8500
	req.Prompts = m.View(&longPrompts, req, candidates)
	assert.Equal(t, PromptDelay(req, &candidates[other]), 0.0)
	// Before, it did not exceed the least delay, as all upstreams were alike.
	assert.Equal(t, uncached, 0.0)
	for i := range candidates {
		if i != other {
			assert.Assert(t, PromptDelay(req, &candidates[i]) > 0, candidates[i].Name)
		}
	}
}

// Guards against an effect where the classes have prompts of about the same length, one class
// only is used, or upstreams do not report their slots or did so long ago.
func TestPromptDelayIsOffWithoutDifference(t *testing.T) {
	candidates := promptCandidates(24)
	for name, c := range map[string]struct {
		chats, longs, longTokens int
		change                   func(*Candidate)
	}{
		"alike":         {chats: 10, longs: 5, longTokens: 1900},
		"long only":     {longs: 10, longTokens: 20_000},
		"chats only":    {chats: 10},
		"unknown slots": {chats: 10, longs: 1, longTokens: 20_000, change: func(c *Candidate) { c.Slots = 0 }},
		"old state":     {chats: 10, longs: 1, longTokens: 20_000, change: func(c *Candidate) { c.StateAge = 5 * time.Second }},
	} {
		t.Run(name, func(t *testing.T) {
			changed := append([]Candidate(nil), candidates...)
			for i := range changed {
				if c.change != nil {
					c.change(&changed[i])
				}
			}
			m := &PromptMix{}
			now := observePrompts(m, time.Unix(1000, 0), 30, c.chats, c.longs, c.longTokens, changed)
			req := &Request{PromptTokens: 20_000, Now: now}
			v := m.View(&longPrompts, req, changed)
			assert.Assert(t, !v.IsOn())
		})
	}
}

// Guards against a request that is made to wait longer for the sake of others than a quarter of
// its own target, and against one that misses its target so that others are not delayed:
// such a long prompt could starve. The state of the upstreams is random.
func TestDiversionIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	plain, withTerm := NewCost(), NewCost()
	withTerm.Terms = append(withTerm.Terms, PromptDelay)
	diverted := 0
	for i := range 3000 {
		candidates := promptCandidates(2 + random.IntN(30))
		m, now := mixedPrompts(promptCandidates(len(candidates)))
		for j := range candidates {
			c := &candidates[j]
			c.Running, c.Waiting = float64(random.IntN(17)), float64(random.IntN(3))
			if random.Float64() < 0.5 {
				c.BacklogTokens = random.Float64() * 80_000
			}
			if random.Float64() < 0.3 {
				c.CachedTokens = random.Float64() * 9000
			}
		}
		class, tokens := &longPrompts, 500+random.IntN(39_000)
		if random.Float64() < 0.3 {
			class, tokens = &chatPrompts, 200+random.IntN(800)
		}
		req := &Request{PromptTokens: tokens, MaxTokens: 100, Rand: random.Uint64(), Now: now}
		best, soonest := plain.Score(req, &candidates[0]), plain.firstToken(req, &candidates[0])
		for j := range candidates {
			best = min(best, plain.Score(req, &candidates[j]))
			soonest = min(soonest, plain.firstToken(req, &candidates[j]))
		}
		req.Prompts = m.View(class, req, candidates)
		for j := range candidates {
			delay := PromptDelay(req, &candidates[j])
			assert.Assert(t, delay >= 0 && delay <= class.FirstTarget.Seconds()*maxDiversion, "%v", delay)
		}
		chosen := &candidates[withTerm.Pick(req, candidates)]
		limit := (best+class.FirstTarget.Seconds()*maxDiversion)*(1+DefaultSlackShare) + DefaultSlackSeconds
		assert.Assert(t, plain.Score(req, chosen) <= limit, "case %d: %.3f s, best %.3f s", i, plain.Score(req, chosen), best)
		if plain.Score(req, chosen) > best*(1+DefaultSlackShare)+DefaultSlackSeconds {
			diverted++
		}
	}
	assert.Assert(t, diverted > 0)
}

// Guards against a long prompt that is sent to a gathering upstream at which it misses its
// target, while another one meets it.
func TestLongPromptMeetsItsTargetElsewhere(t *testing.T) {
	candidates := promptCandidates(24)
	m, now := mixedPrompts(candidates)
	policy := NewCost()
	policy.Terms = append(policy.Terms, PromptDelay)
	for i := range candidates {
		if c := &candidates[i]; c.NameHash <= m.limit {
			c.Running, c.BacklogTokens = 0, 45_000
		} else {
			c.BacklogTokens = 33_000
		}
	}
	req := &Request{PromptTokens: 20_000, MaxTokens: 80, Now: now}
	req.Prompts = m.View(&longPrompts, req, candidates)
	chosen := &candidates[policy.Pick(req, candidates)]
	assert.Assert(t, chosen.NameHash > m.limit)
}

// Guards against a gathering set that changes with each random variation of the mix, and one
// that does not follow a shift of the mix within seconds.
func TestGatheringSetFollowsTheMix(t *testing.T) {
	candidates := promptCandidates(140)
	m := &PromptMix{Daemons: func() int { return 61 }}
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	// run sends eleven requests per second, of which share are long, and returns the size of the
	// set at the end of each second.
	run := func(seconds int, share float64) (sizes []int) {
		for range seconds {
			for range 11 {
				now = now.Add(time.Second / 11)
				class, tokens := &chatPrompts, 700
				if random.Float64() < share {
					class, tokens = &longPrompts, 5000+random.IntN(5000)
				}
				m.Observe(class, &Request{PromptTokens: tokens, MaxTokens: 100, Now: now}, candidates, random.IntN(len(candidates)))
			}
			sizes = append(sizes, gatheringCount(m, candidates))
		}
		return sizes
	}
	run(60, 0.05)
	changes, steady := 0, run(60, 0.05)
	for i := 1; i < len(steady); i++ {
		if steady[i] != steady[i-1] {
			changes++
		}
	}
	assert.Assert(t, changes <= 6, "%v", steady)
	// The long prompts keep 0.05 * 671 * 7500 / 40000 = 6 upstreams busy, then 60 % of them 75.
	assert.Assert(t, steady[59] >= 6 && steady[59] <= 26, "%v", steady)
	long := run(8, 0.6)
	assert.Assert(t, long[7] >= 80, "%v", long)
	back := run(20, 0.05)
	assert.Assert(t, back[12] <= 40, "%v", back)
}

// Guards against a pool of two upstreams of which one is kept for long prompts although the
// other has no free slots.
func TestGatheringYieldsWithoutRoom(t *testing.T) {
	candidates := promptCandidates(2)
	for i := range candidates {
		candidates[i].Running = 16
	}
	m, now := mixedPrompts(candidates)
	req := &Request{PromptTokens: 700, MaxTokens: 300, Now: now}
	req.Prompts = m.View(&chatPrompts, req, candidates)
	for i := range candidates {
		assert.Equal(t, PromptDelay(req, &candidates[i]), 0.0)
	}
}

// Guards against a speed or a pace that does not scale the delay.
func TestPromptDelayScales(t *testing.T) {
	v := PromptView{limitSeconds: 10, targetSeconds: 10, slackSeconds: 0.4, inverseSlack: 1 / 0.4, secondsPerToken: 1 / enginePromptRate, longTokens: 4000}
	req := &Request{PromptTokens: 20_000, Prompts: v}
	usual := PromptDelay(req, &Candidate{NameHash: 1, Running: 4})
	assert.Equal(t, usual, 4*0.5)
	assert.Equal(t, PromptDelay(req, &Candidate{NameHash: 1, Running: 4, Speed: 0.5}), 2*usual)
	assert.Equal(t, PromptDelay(req, &Candidate{NameHash: 1, Running: 4, Pace: 2.5}), 2.5*usual)
	assert.Equal(t, PromptDelay(req, &Candidate{NameHash: 1, Running: 3, Waiting: 1}), usual)
}

// Guards against a gathering set that follows the few candidates of a request of the other version
// of a move, and against one that does not follow a pool that has shrunk.
func TestGatheringSetIsThatOfTheWholePool(t *testing.T) {
	candidates := promptCandidates(40)
	m, now := mixedPrompts(candidates)
	limit, size := m.limit, m.gathering
	req := &Request{PromptTokens: 700, MaxTokens: 300, Now: now.Add(600 * time.Millisecond)}
	m.Observe(&chatPrompts, req, candidates[:4], 0)
	assert.Equal(t, m.limit, limit)
	assert.Equal(t, m.gathering, size)
	now = observePrompts(m, now, 5, 10, 1, 20_000, candidates[:4])
	assert.Assert(t, gatheringCount(m, candidates[:4]) > 0)
	assert.Assert(t, m.gathering <= 4)
	observePrompts(m, now, 5, 10, 1, 20_000, candidates)
	assert.Assert(t, m.gathering > 4, "%d", m.gathering)
}
