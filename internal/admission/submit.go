package admission

// Submit is Admit without blocking, for callers that run an event loop with a
// clock of their own, such as simulations. decided is called, at once or when
// another attempt frees a place, with whether the request may start; it must
// not call the Controller. Submit sheds at arrival only: a submitted request
// waits until it is granted or displaced. The returned function ends the
// attempt, like that of Admit.
func (c *Controller) Submit(r Request, decided func(granted bool)) func(Outcome) {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	w, displaced, rule, _ := p.arrive(&r, now)
	if displaced != nil {
		displaced.tell()
	}
	if w == nil {
		c.record(&r, rule, now, now)
		decided(rule == RuleAdmitted)
		return c.releaser(r)
	}
	w.notify = func() { decided(w.granted) }
	return c.releaser(r)
}
