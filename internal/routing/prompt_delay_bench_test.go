package routing

import (
	"fmt"
	"testing"
	"time"

	"rattantide/internal/membership"
)

// BenchmarkChoose140WithPrompts measures choosing among 140 upstreams with PromptDelay, including
// building the candidates from the tracker's state and learning from the request. It must take
// at most 5 µs and not allocate.
func BenchmarkChoose140WithPrompts(b *testing.B) {
	for _, c := range []struct {
		name  string
		class *PromptClass
		terms []Term
	}{
		{name: "without", class: &longPrompts},
		{name: "short", class: &chatPrompts, terms: []Term{PromptDelay}},
		{name: "long", class: &longPrompts, terms: []Term{PromptDelay}},
	} {
		b.Run(c.name, func(b *testing.B) {
			m, now := mixedPrompts(promptCandidates(140))
			tracker, upstreams, blocks := loadedTracker(now)
			for i := len(upstreams); i < 140; i++ {
				upstreams = append(upstreams, membership.Upstream{Name: fmt.Sprintf("runner-%03d.pool-a", i), Domain: fmt.Sprintf("domain-%d", i%24),
					Load: &membership.Load{Running: i % 7, ReceivedAt: now.Add(-time.Second)}})
			}
			policy := NewCost()
			policy.Terms = c.terms
			req := &Request{PromptTokens: 256 * 16, MaxTokens: 200, Blocks: blocks, Now: now}
			if c.class == &chatPrompts {
				req.PromptTokens, req.Blocks = 700, blocks[:3]
			}
			buffer := make([]Candidate, 0, len(upstreams))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.Rand = uint64(i)
				buffer = tracker.Candidates(req, upstreams, buffer[:0])
				if c.terms != nil {
					req.Prompts = m.View(c.class, req, buffer)
				}
				index := policy.Pick(req, buffer)
				if c.terms != nil {
					m.Observe(c.class, req, buffer, index)
				}
			}
		})
	}
}
