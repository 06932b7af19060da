package admission

import "time"

// Preview is what would happen to a first attempt at this moment.
type Preview struct {
	// Rule is RuleAdmitted, RuleShed, RuleQueueFull, or RulePoolLimit if the attempt would wait.
	Rule Rule
	// Wait is the expected wait of an attempt that is not admitted at once.
	Wait time.Duration
	// InFlight, Limit and Waiting are as returned by Controller.Limit.
	InFlight, Limit, Waiting int
}

// Preview returns what Admit would do with a request. It changes nothing: limits that depend on
// time are as of the latest request of the pool.
func (c *Controller) Preview(r Request) Preview {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Pool]
	if p == nil {
		return Preview{Rule: RuleAdmitted}
	}
	out := Preview{Rule: RuleAdmitted, InFlight: p.inFlight, Limit: p.limit.current(), Waiting: p.waiting}
	now := c.opts.Now()
	if p.isRanked(now) && p.hasRankCapacity(&r, now) || !p.isRanked(now) && p.waiting == 0 && p.hasCapacity() {
		return out
	}
	q := p.findClass(&r)
	if q == nil {
		q = &classQueue{name: r.Class, priority: r.Priority}
	}
	out.Rule, out.Wait = RulePoolLimit, p.expectedWait(q, &r, now)
	switch {
	case p.isTooLate(&r, out.Wait, p.expectedServiceTime(&r), now):
		out.Rule = RuleShed
	case p.hasFullQueue(q, &r) || p.waiting >= p.maxWaiting:
		out.Rule = RuleQueueFull
	}
	return out
}
