package admission

// Report updates the metrics of the pools where the rule by priority is in effect, and logs
// each change of how it applies. It is to be called about once per second.
func (c *Controller) Report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	for name, p := range c.pools {
		if p.ranks == nil {
			continue
		}
		state := p.state(now)
		if state.source != sourceOff {
			if c.gauges[name] == nil {
				c.gauges[name] = newGauges(c.scope, name)
			}
			c.gauges[name].update(p, state, now)
		}
		if state == p.reported || state.source == sourceOff && p.reported.source == "" {
			continue
		}
		p.reported = state
		if c.opts.Logger != nil {
			room := p.ranks.room(p.workLimit, now)
			c.opts.Logger.Info("admission rule changed", "pool", name, "figures", state.source, "contradicted", state.isContradicted,
				"limited", state.isLimited, "cappedWorkspaces", len(p.ranks.fleet.caps), "room", int64(min(room.value, maxReportedRoom)), "outstanding", int64(p.workLimit.outstanding),
				"capacity", int64(room.capacity), "fleetDaemons", p.ranks.fleet.daemons)
		}
	}
}
