package routing

import (
	"fmt"
	"testing"
	"time"

	"rattantide/internal/membership"
)

// BenchmarkChoose100 measures choosing among 100 upstreams, including building
// the candidates from the tracker's state. It must take at most 5 µs and not
// allocate.
func BenchmarkChoose100(b *testing.B) {
	now := time.Unix(1000, 0)
	tracker, upstreams, blocks := loadedTracker(now)
	benchmarkChoose(b, tracker, upstreams, blocks, now)
}

// BenchmarkChooseWithState140 measures choosing among 140 upstreams that report slots and
// pace. It must take at most 5 µs and not allocate.
func BenchmarkChooseWithState140(b *testing.B) {
	now := time.Unix(1000, 0)
	tracker, upstreams, blocks := loadedTracker(now)
	for i := len(upstreams); i < 140; i++ {
		upstreams = append(upstreams, upstreams[i%100])
		upstreams[i].Name = fmt.Sprintf("runner-%03d.pool-a", i)
	}
	for i := range upstreams {
		upstreams[i].Load = &membership.Load{
			Running: i % 16, Waiting: i % 3, Slots: 16, Pace: 1 + float64(i%5)/4, ReceivedAt: now.Add(-time.Duration(i) * time.Millisecond),
		}
	}
	benchmarkChoose(b, tracker, upstreams, blocks, now)
}

// benchmarkChoose measures building the candidates and choosing among them.
func benchmarkChoose(b *testing.B, tracker *Tracker, upstreams []membership.Upstream, blocks []uint64, now time.Time) {
	policy := NewCost()
	req := &Request{PromptTokens: 256 * 16, MaxTokens: 200, Blocks: blocks, Now: now}
	buffer := make([]Candidate, 0, len(upstreams))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.Rand = uint64(i)
		buffer = tracker.Candidates(req, upstreams, buffer[:0])
		if policy.Pick(req, buffer) < 0 {
			b.Fatal("nothing chosen")
		}
	}
}

// loadedTracker returns a Tracker, 100 upstreams with load reports, cached blocks and
// reclaims, and the blocks of a prompt.
func loadedTracker(now time.Time) (*Tracker, []membership.Upstream, []uint64) {
	blocks := make([]uint64, 256)
	for i := range blocks {
		blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	tracker := NewTracker(0)
	var upstreams []membership.Upstream
	for i := range 100 {
		upstreams = append(upstreams, membership.Upstream{
			Name: fmt.Sprintf("runner-%03d.pool-a", i), Domain: fmt.Sprintf("domain-%d", i%24),
			Class: membership.Reclaimable, PricePerHour: 1 + float64(i%3),
			Load: &membership.Load{Running: i % 7, Waiting: i % 3, ReceivedAt: now.Add(-time.Second)},
		})
	}
	for i, u := range upstreams {
		s := tracker.ensureState(u.Name)
		tracker.index.RecordSent(s.slot, blocks[:i%len(blocks)])
		tracker.RecordReclaim(u.Domain, now)
	}
	return tracker, upstreams, blocks
}
