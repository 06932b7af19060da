package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// affinityFleet is a fleet of daemons that share a pool, each with a tracker of its own.
type affinityFleet struct {
	now       time.Time
	trackers  []*Tracker
	policy    *Cost
	upstreams []membership.Upstream
	sent      int
}

func newAffinityFleet(daemons int) *affinityFleet {
	f := &affinityFleet{now: time.Unix(1000, 0), policy: NewCost()}
	for range daemons {
		f.trackers = append(f.trackers, NewTracker(0))
	}
	for i := range 100 {
		f.upstreams = append(f.upstreams, membership.Upstream{Name: fmt.Sprintf("u%03d", i)})
	}
	return f
}

// request returns a prompt with a part that all prompts have, one of the given document, and
// one of its own.
func (f *affinityFleet) request(document int) *Request {
	f.sent++
	r := &Request{PromptTokens: 36 * 256, MaxTokens: 50, Rand: uint64(f.sent) * 0x9e3779b97f4a7c15, Now: f.now}
	hash := func(kind, n, i int) uint64 {
		source := bitSource(uint64(kind)<<56 ^ uint64(n)<<24 ^ uint64(i))
		return source.next()
	}
	for i := range 36 {
		switch {
		case i < 10:
			r.Blocks = append(r.Blocks, hash(1, 0, i))
		case i < 25:
			r.Blocks = append(r.Blocks, hash(2, document, i))
		default:
			r.Blocks = append(r.Blocks, hash(3, f.sent, i))
		}
	}
	r.SharedBlocks = 25
	return r
}

// send sends a request from a daemon, waits until it is answered and returns the upstream.
func (f *affinityFleet) send(daemon, document int) string {
	tracker, r := f.trackers[daemon], f.request(document)
	candidates := tracker.Candidates(r, f.upstreams, nil)
	c := &candidates[f.policy.Pick(r, candidates)]
	sent := tracker.RecordSent(r, c)
	f.now = f.now.Add(50 * time.Millisecond)
	tracker.RecordEnd(sent, Feedback{Now: f.now, OK: true, FirstToken: 200 * time.Millisecond})
	return c.Name
}

// Guards against a shared prefix that each daemon of a large fleet sends to another upstream,
// where it is computed anew, because a part that all prompts have is cached everywhere.
func TestDaemonsSendSharedPrefixToSameUpstreams(t *testing.T) {
	f := newAffinityFleet(20)
	const documents = 40
	used := map[int]map[string]bool{}
	for round := range 20 {
		for document := range documents {
			name := f.send((round+document)%len(f.trackers), document)
			if used[document] == nil {
				used[document] = map[string]bool{}
			}
			used[document][name] = true
		}
	}
	total := 0
	for _, names := range used {
		total += len(names)
	}
	assert.Assert(t, total <= 4*documents, "%d upstreams computed %d prefixes", total, documents)
}

// Guards against a prefix that overloads its preferred upstreams: once these are busy, others
// take its requests.
func TestBusyPreferredUpstreamIsLeft(t *testing.T) {
	f := newAffinityFleet(1)
	tracker := f.trackers[0]
	used := map[string]int{}
	for range 60 {
		r := f.request(1)
		candidates := tracker.Candidates(r, f.upstreams, nil)
		c := &candidates[f.policy.Pick(r, candidates)]
		tracker.RecordSent(r, c)
		used[c.Name]++
	}
	for name, count := range used {
		assert.Assert(t, count <= 20, "%s got %d of 60 open requests", name, count)
	}
}
