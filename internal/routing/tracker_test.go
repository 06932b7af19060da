package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against herding: with equal reports, many daemons must not all choose
// the same upstream, and one daemon must spread a burst that arrives before the
// next reports.
func TestCostSpreadsABurst(t *testing.T) {
	now := time.Unix(1000, 0)
	policy, tracker := NewCost(), NewTracker(0)
	var upstreams []membership.Upstream
	for i := range 10 {
		upstreams = append(upstreams, membership.Upstream{Name: fmt.Sprintf("u%d", i), Class: membership.OnDemand})
	}
	counts := map[string]int{}
	for i := range 200 {
		req := &Request{PromptTokens: 1000, MaxTokens: 100, Now: now, Rand: uint64(i)}
		candidates := tracker.Candidates(req, upstreams, nil)
		picked := policy.Pick(req, candidates)
		tracker.RecordSent(req, &candidates[picked])
		counts[candidates[picked].Name]++
	}
	for name, n := range counts {
		assert.Assert(t, n >= 14 && n <= 26, "%s got %d of 200, expected about 20", name, n)
	}
}

// Guards against losing prefix locality, and against preferring the holder of a
// prefix when it is overloaded, evicted the blocks, was restarted or has lost
// events.
func TestCostFollowsThePrefix(t *testing.T) {
	now := time.Unix(1000, 0)
	blocks := []uint64{4, 8, 12, 16, 20, 24, 28, 32}
	upstreams := []membership.Upstream{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	tracker, policy := NewTracker(0), NewCost()
	pick := func() string {
		req := &Request{PromptTokens: 4000, Blocks: blocks, Now: now, Rand: uint64(now.UnixNano())}
		candidates := tracker.Candidates(req, upstreams, nil)
		return candidates[policy.Pick(req, candidates)].Name
	}
	var events []CacheEvent
	for i, b := range blocks {
		events = append(events, CacheEvent{Seq: int64(i + 1), Stored: true, Block: b})
	}
	tracker.ApplyCacheEvents("b", 8, events)
	for range 20 {
		now = now.Add(time.Millisecond)
		assert.Equal(t, pick(), "b")
	}
	busy := membership.Load{Waiting: 100, ReceivedAt: now}
	upstreams[1].Load = &busy
	assert.Assert(t, pick() != "b", "picked the holder although it has 100 waiting requests")
	idle := membership.Load{ReceivedAt: now.Add(time.Millisecond)}
	upstreams[1].Load = &idle
	assert.Equal(t, pick(), "b")

	cached := func() float64 {
		return tracker.Candidates(&Request{PromptTokens: 4000, Blocks: blocks, Now: now}, upstreams, nil)[1].CachedTokens
	}
	tracker.ApplyCacheEvents("b", 10, []CacheEvent{{Seq: 10, Block: 1}})
	assert.Equal(t, cached(), 4000.0, "one lost event must not make all blocks uncertain")
	tracker.ApplyCacheEvents("b", 50, []CacheEvent{{Seq: 50, Block: 1}})
	assert.Equal(t, cached(), 2000.0, "39 lost events can concern all 8 blocks, so the cached prefix must be halved")
	tracker.ApplyCacheEvents("b", 51, []CacheEvent{{Seq: 51, Block: blocks[0]}})
	assert.Equal(t, cached(), 0.0)
	tracker.ApplyCacheEvents("b", 52, []CacheEvent{{Seq: 52, Stored: true, Block: blocks[0]}})
	tracker.ApplyCacheEvents("b", 0, nil)
	assert.Equal(t, cached(), 0.0)
}

// Guards against ignoring the price or a wave of reclaims.
func TestCostWeighsPriceAndReclaims(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := []membership.Upstream{
		{Name: "cheap", Domain: "d1", Class: membership.Reclaimable, PricePerHour: 1},
		{Name: "dear", Domain: "d2", Class: membership.OnDemand, PricePerHour: 3},
	}
	tracker, policy := NewTracker(0), NewCost()
	pick := func() string {
		req := &Request{PromptTokens: 8000, MaxTokens: 1000, Now: now}
		candidates := tracker.Candidates(req, upstreams, nil)
		return candidates[policy.Pick(req, candidates)].Name
	}
	policy.SlackSeconds, policy.SlackShare = 0, 0
	assert.Equal(t, pick(), "cheap")
	for range 20 {
		tracker.RecordReclaim("d1", now)
	}
	assert.Equal(t, pick(), "dear")
	now = now.Add(3 * time.Hour)
	assert.Equal(t, pick(), "cheap")
}

// Guards against an index that grows without bound.
func TestIndexIsBounded(t *testing.T) {
	index := NewIndex(100)
	for b := range uint64(10000) {
		index.RecordStored(int(b%5), 4*b)
	}
	assert.Assert(t, index.Len() <= 100, "holds %d blocks", index.Len())
	var counts matchCounts
	index.countMatches([]uint64{4 * 9999}, &counts)
	assert.Equal(t, counts[9999%5], uint16(1))
}

// Guards against an estimate from the processing rate alone, which counts this
// daemon's waiting prompts as processed, and against never removing them from
// the backlog.
func TestPendingPromptsCountUntilFirstToken(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(0)
	upstreams := []membership.Upstream{{Name: "a"}}
	candidate := func() *Candidate {
		return &tracker.Candidates(&Request{PromptTokens: 1000, Now: now}, upstreams, nil)[0]
	}
	var sent []SentAttempt
	for range 3 {
		sent = append(sent, tracker.RecordSent(&Request{PromptTokens: 1000, Now: now}, candidate()))
	}
	now = now.Add(time.Minute)
	assert.Equal(t, candidate().BacklogTokens, 3000.0)
	tracker.RecordFirstToken(sent[0])
	assert.Equal(t, candidate().BacklogTokens, 2000.0)
	tracker.RecordEnd(sent[0], Feedback{FirstReported: true})
	tracker.RecordEnd(sent[1], Feedback{})
	assert.Equal(t, candidate().BacklogTokens, 1000.0)
	tracker.RecordEnd(sent[2], Feedback{})
	assert.Equal(t, candidate().BacklogTokens, 0.0)
	assert.Equal(t, candidate().InFlight, 0)
}

// Guards against daemons that each send a new shared prefix to a different
// upstream before cache events report where it is cached.
func TestNewPrefixGoesToFewUpstreams(t *testing.T) {
	var upstreams []membership.Upstream
	for i := range 12 {
		upstreams = append(upstreams, membership.Upstream{Name: fmt.Sprintf("u%d", i)})
	}
	blocks := make([]uint64, 100)
	for i := range blocks {
		blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	picked := map[int]int{}
	for daemon := range uint64(8) {
		req := &Request{PromptTokens: 1600, Blocks: blocks, Rand: daemon * 77, Now: time.Unix(1000, 0)}
		picked[NewCost().Pick(req, NewTracker(0).Candidates(req, upstreams, nil))]++
	}
	assert.Assert(t, len(picked) <= 2, "8 daemons chose %d upstreams", len(picked))
}
