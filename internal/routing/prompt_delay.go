package routing

import "math"

const (
	// negligibleShare is the ratio of a prompt's processing time to the tightest target below
	// which its delay of others is not computed. At the ratio, the weighted delay of ten
	// requests is 1% of the target in total, which is within DefaultSlackSeconds.
	negligibleShare = 1.0 / 10
	// minSlackShare is the share of the tightest target that is assumed to be left at an
	// upstream whose backlog alone exceeds the target. Without it, the delay at such an
	// upstream would not depend on the prompt's length.
	minSlackShare = 0.25
	// toleratedRequests is the number of requests more than at the best candidate for which a
	// candidate counts as equal: the random error of the number that runs, of about ten,
	// since the latest report. Without it, the daemons sent their long prompts to the same
	// upstream until the next report.
	toleratedRequests = 3
)

// PromptDelay is the Term for prompts of different length. For a long prompt, it is the delay
// that the prompt causes to the requests that run or wait at the candidate, each weighted by
// the square of the ratio of the delay to the time that the request has left, but at most by
// 1: a delay that leaves most of the time seldom makes a request miss its target. Only what
// exceeds the least such delay at any candidate counts, as that much cannot be avoided. For a
// short prompt, it is the expected delay by the long prompts that gather at the candidate.
//
// The value is at least 0 and at most a quarter of the request's own target (see
// maxDiversion). A request is therefore sent to an upstream at which it is expected to wait
// longer than at the best one by that time, and by the differences that Cost ignores, at
// most. A candidate at which the request would miss its target gets the highest value, so
// that the term never makes it preferable to one at which the target is met.
func PromptDelay(req *Request, c *Candidate) float64 {
	v := &req.Prompts
	if v.limitSeconds <= 0 {
		return 0
	}
	uncached := float64(req.PromptTokens) - c.CachedTokens
	delay := 0.0
	if uncached < v.longTokens && c.NameHash <= v.gatherLimit {
		delay = v.exposureRate * (uncached*v.secondsPerToken + float64(req.MaxTokens)*secondsPerToken)
	}
	if work := uncached * v.secondsPerToken; work > v.slackSeconds*negligibleShare {
		delay += max(0, v.delayOfOthers(c, c.Running+c.Waiting, work)-v.leastDelay)
	}
	return min(delay, v.limitSeconds)
}

// delayOfOthers returns the weighted delay that a prompt causes to a number of other requests
// at c. work is the time that a usual upstream takes to process it.
func (v *PromptView) delayOfOthers(c *Candidate, requests, work float64) float64 {
	backlog := c.BacklogTokens * v.secondsPerToken
	if c.Speed > 0 && c.Speed != 1 {
		work, backlog = work/c.Speed, backlog/c.Speed
	}
	if c.Pace > 0 {
		work, backlog = work*c.Pace, backlog*c.Pace
	}
	if v.targetSeconds > 0 && backlog+work > v.targetSeconds {
		return v.leastDelay + v.limitSeconds
	}
	delay := requests * work
	if backlog == 0 {
		weight := min(1, work*v.inverseSlack)
		return delay * weight * weight
	}
	weight := min(1, work/max(v.slackSeconds-backlog, v.slackSeconds*minSlackShare))
	return delay * weight * weight
}

// setLeastDelay sets leastDelay for a request, with toleratedRequests. It stays 0 if the
// prompt is short at any candidate.
func (v *PromptView) setLeastDelay(req *Request, candidates []Candidate) {
	least := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		work := (float64(req.PromptTokens) - c.CachedTokens) * v.secondsPerToken
		if work <= v.slackSeconds*negligibleShare {
			return
		}
		least = min(least, v.delayOfOthers(c, c.Running+c.Waiting+toleratedRequests, work))
	}
	if len(candidates) > 0 {
		v.leastDelay = least
	}
}
