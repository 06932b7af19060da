package admission

import "time"

// Explain returns the rule that a waiting request is blocked by, or the
// decision on a recent one. It returns false when the request is unknown.
func (c *Controller) Explain(id string) (Explanation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[id]
	if w == nil || w.granted {
		e, ok := c.history.byID[id]
		return e, ok
	}
	e := newExplanation(&w.req, w.arrivedAt, c.opts.Now())
	e.Waiting = true
	e.Rule, e.Detail = RulePoolLimit, ""
	if w.queue.position(w) >= 0 {
		e.Rule, e.Detail = c.pool(w.req.Pool).blockingRule(w)
	}
	return e, true
}

// RecordUpstream records the upstream and version of the latest attempt of a
// request, for Explain.
func (c *Controller) RecordUpstream(id, upstream, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.history.byID[id]
	if !ok {
		return
	}
	e.Upstream, e.Version = upstream, version
	c.history.byID[id] = e
}

// recordDecision records the decision on a request for Explain and in the
// metrics. The caller holds c.mu.
func (c *Controller) recordDecision(r *Request, rule Rule, arrived, now time.Time) {
	e := newExplanation(r, arrived, now)
	e.Rule = rule
	switch rule {
	case RuleAdmitted:
		e.Detail = "admitted"
		c.admitted.Inc(1)
	case RuleShed:
		e.Detail = "refused: the deadline could not be met"
		c.shed.Inc(1)
	case RuleQueueFull:
		e.Detail = "refused: the queue was full"
		c.queueFull.Inc(1)
	case RuleCallerGaveUp:
		e.Detail = "the caller gave up while the request waited"
		c.callerGaveUp.Inc(1)
	}
	c.history.put(e)
}

// newExplanation returns an Explanation in which Rule and Detail are not set.
func newExplanation(r *Request, arrived, now time.Time) Explanation {
	return Explanation{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class, Pool: r.Pool,
		Since: arrived, Waited: now.Sub(arrived),
	}
}
