package admission

import (
	"fmt"
	"time"
)

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

// blockingRule returns the rule that a waiter is blocked by, and its
// description.
func (p *pool) blockingRule(w *waiter) (Rule, string) {
	if i := w.queue.position(w); i > 0 {
		return RuleWorkspaceQueue, fmt.Sprintf("%d earlier requests of workspace %s go first", i, w.req.Workspace)
	}
	for _, q := range p.classes {
		if q.waiting > 0 && q.priority > w.req.Priority {
			return RulePriority, fmt.Sprintf("%d requests of class %s with priority %d go first", q.waiting, q.name, q.priority)
		}
	}
	q := p.class(&w.req)
	if turn := q.ring[q.next]; turn != w.queue {
		return RuleFairness, fmt.Sprintf("workspace %s is next of %d workspaces in the round", turn.name, len(q.ring))
	}
	return RulePoolLimit, fmt.Sprintf("%d of %d places are taken", p.inFlight, p.limit.current())
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
	c.countDecision(r, rule)
	if p := c.pool(r.Pool); rule != RuleAdmitted && p.isRanked(now) {
		e.Room = p.explainRoom(r, now)
	}
	switch rule {
	case RuleAdmitted:
		e.Detail = "admitted"
		c.admitted.Inc(1)
	case RuleShed:
		e.Detail = "refused: the deadline could not be met"
		c.shed.Inc(1)
	case RuleFairShare:
		e.Detail = "refused: the workspace has used up its fair share"
		c.overShare.Inc(1)
	case RuleQueueFull:
		e.Detail = "refused: the queue was full"
		c.queueFull.Inc(1)
	case RuleCallerGaveUp:
		e.Detail = "the caller gave up while the request waited"
		c.callerGaveUp.Inc(1)
	}
	c.history.put(e)
}

// countDecision counts a decision by class and rule where the work limit is used. The caller
// holds c.mu.
func (c *Controller) countDecision(r *Request, rule Rule) {
	if !c.opts.LimitWork {
		return
	}
	key := classRule{r.Class, rule}
	counter := c.decisions[key]
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{"class": r.Class, "rule": string(rule)}).Counter("decisions")
		c.decisions[key] = counter
	}
	counter.Inc(1)
}

// newExplanation returns an Explanation in which Rule and Detail are not set.
func newExplanation(r *Request, arrived, now time.Time) Explanation {
	return Explanation{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class, Pool: r.Pool,
		Since: arrived, Waited: now.Sub(arrived),
	}
}
