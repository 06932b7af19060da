package routing

// PromptView holds what PromptDelay needs of the PromptMix of a pool, as of one decision.
// The zero value means that prompts do not differ in length.
type PromptView struct {
	// limitSeconds is the largest value of PromptDelay for the request; 0 switches it off.
	limitSeconds float64
	// targetSeconds is the target of the request itself.
	targetSeconds float64
	// slackSeconds is the tightest target of the pool's classes: the time that an
	// upstream without a backlog can spend on another prompt before it delays a request
	// beyond its target.
	slackSeconds float64
	// inverseSlack is 1/slackSeconds, as a division takes a third of the time of a delay.
	inverseSlack float64
	// secondsPerToken is the time to process a prompt token at a usual upstream.
	secondsPerToken float64
	// longTokens is the number of uncached tokens from which a prompt counts as long.
	longTokens float64
	// gatherLimit is the highest NameHash of the upstreams at which long prompts gather.
	gatherLimit uint64
	// exposureRate is the expected delay by long prompts, weighted as in PromptDelay, for
	// each second that a request spends at one of those upstreams.
	exposureRate float64
	// leastDelay is the delay of others that does not count, see setLeastDelay.
	leastDelay float64
}

// IsOn reports whether the view has an effect on a choice.
func (v *PromptView) IsOn() bool { return v.limitSeconds > 0 }

// Gathers reports whether long prompts gather at a candidate.
func (v *PromptView) Gathers(c *Candidate) bool { return v.IsOn() && c.NameHash <= v.gatherLimit }
