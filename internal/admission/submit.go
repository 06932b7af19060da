package admission

// Submit is Admit without blocking, for callers that run an event loop with a
// simulated clock. decided is called with whether the request may start, either
// at once or during a later call on the Controller; it must not call the
// Controller. Submit starts no timer: a submitted request waits until it is
// granted or displaced, or until a later call on the Controller finds that it
// cannot be answered in time. The returned function ends the attempt, like that
// of Admit; it must be called only for a request that may start.
func (c *Controller) Submit(r Request, decided func(granted bool)) func(Outcome) {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	w, displaced, rule, _ := p.admitOrQueue(&r, now)
	if displaced != nil {
		displaced.signal()
	}
	if w == nil {
		c.recordDecision(&r, rule, now, now)
		decided(rule == RuleAdmitted)
		return c.releaseFunc(r)
	}
	w.onDecision = func() { decided(w.granted) }
	return c.releaseFunc(r)
}
