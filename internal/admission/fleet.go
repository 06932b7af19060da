package admission

import "rattantide/internal/fleetload"

// TakeLoads returns the load of this daemon since the last call, of the pools where
// priorities differ or workspaces have quotas.
func (c *Controller) TakeLoads() []fleetload.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	loads := make([]fleetload.Load, 0, len(c.pools))
	for name, p := range c.pools {
		if p.ranks == nil || !p.ranks.isActive(now) {
			continue
		}
		load := p.ranks.takeLoad(now)
		load.Pool = fleetload.Key(name)
		loads = append(loads, load)
	}
	return loads
}

// ApplyFleetLoads applies the sums of the loads of several daemons.
func (c *Controller) ApplyFleetLoads(loads []fleetload.Load, daemons int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	for name, p := range c.pools {
		key := fleetload.Key(name)
		for i := range loads {
			if loads[i].Pool == key {
				p.applyFleetLoad(&loads[i], daemons, now)
				c.grantWaiting(p)
			}
		}
	}
}
