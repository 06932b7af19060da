package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// Guards against sending a full share of the traffic to an upstream that fails
// half of its requests while its health check succeeds, and against never
// trying it again.
func TestFailingUpstreamReceivesFewerRequests(t *testing.T) {
	tracker := NewTracker(0)
	policy := NewCost()
	upstreams := []membership.Upstream{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "grey"}}
	now := time.Unix(1000, 0)
	source := bitSource(7)
	// run sends requests and returns how many went to "grey", which fails half of
	// them if isFailing is set.
	run := func(requests int, isFailing bool) int {
		sent := 0
		for range requests {
			now = now.Add(20 * time.Millisecond)
			req := &Request{PromptTokens: 500, MaxTokens: 20, Rand: source.next(), Now: now}
			candidates := tracker.Candidates(req, upstreams, nil)
			picked := policy.Pick(req, candidates)
			s := tracker.RecordSent(req, &candidates[picked])
			isGrey := candidates[picked].Name == "grey"
			if isGrey {
				sent++
			}
			failed := isFailing && isGrey && sent%2 == 0
			tracker.RecordEnd(s, Feedback{Now: now.Add(10 * time.Millisecond), OK: !failed, Failed: failed, FirstToken: 100 * time.Millisecond})
		}
		return sent
	}
	assert.Assert(t, run(400, false) > 50)
	grey := run(400, true)
	assert.Assert(t, grey < 40, "%d of 400 requests went to an upstream that fails half of them", grey)
	assert.Assert(t, grey > 0, "the failing upstream is never tried")
	run(1000, false)
	assert.Assert(t, run(400, false) > 50, "the upstream is still avoided after it has recovered")
}
