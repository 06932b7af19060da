package admission

import "time"

// Explain tells which rule holds a waiting request, or what became of a recent
// one. It returns false when the request is not known.
func (c *Controller) Explain(id string) (Explanation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiting[id]
	if w == nil || w.granted {
		e, ok := c.history.byID[id]
		return e, ok
	}
	e := explanation(&w.req, w.arrived, c.opts.Now())
	e.Waiting = true
	e.Rule, e.Detail = RulePoolLimit, ""
	if w.queue.position(w) >= 0 {
		e.Rule, e.Detail = c.pool(w.req.Pool).holding(w)
	}
	return e, true
}

// Placed records where an attempt of a request went, for Explain.
func (c *Controller) Placed(id, upstream, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.history.byID[id]
	if !ok {
		return
	}
	e.Upstream, e.Version = upstream, version
	c.history.byID[id] = e
}

// record notes what became of a request; the lock is held.
func (c *Controller) record(r *Request, rule Rule, arrived, now time.Time) {
	e := explanation(r, arrived, now)
	e.Rule = rule
	switch rule {
	case RuleAdmitted:
		e.Detail = "admitted"
		c.admitted.Inc(1)
	case RuleShed:
		e.Detail = "refused: the deadline could not be met"
		c.shed.Inc(1)
	case RuleFull:
		e.Detail = "refused: the queue was full"
		c.full.Inc(1)
	case RuleGaveUp:
		e.Detail = "the caller gave up while the request waited"
		c.gaveUp.Inc(1)
	}
	c.history.put(e)
}

func explanation(r *Request, arrived, now time.Time) Explanation {
	return Explanation{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class, Pool: r.Pool,
		Since: arrived, Waited: now.Sub(arrived),
	}
}
