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
	q := &classQueue{name: r.Class, priority: r.Priority}
	for _, known := range p.classes {
		if known.name == r.Class {
			q = known
		}
	}
	service := p.expectedServiceTime(&r)
	out.Rule, out.Wait = RulePoolLimit, p.expectedWait(q, &r, now)
	if !r.Deadline.IsZero() && now.Add(out.Wait+service).After(r.Deadline) || !r.FirstDeadline.IsZero() && now.Add(out.Wait).After(p.latestStart(&r)) {
		out.Rule = RuleShed
	} else if ws := q.workspace(r.Workspace); ws != nil && len(ws.waiters) >= p.maxPerWorkspace || p.waiting >= p.maxWaiting {
		out.Rule = RuleQueueFull
	}
	return out
}
