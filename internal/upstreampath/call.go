package upstreampath

import "time"

// Call is a call to an upstream in progress. It is safe for concurrent use.
type Call struct {
	monitor *Monitor
	path    *poolPath
	pool    string
	// abandon ends the call; nil if it must go on without a path. heardAt is when the call
	// began or anything was last received. Both are guarded by Monitor.mu.
	abandon func()
	heardAt time.Time
}

// Heard records that anything was received from the upstream.
func (c *Call) Heard() {
	if c == nil {
		return
	}
	m := c.monitor
	m.mu.Lock()
	c.heardAt = m.opts.Now()
	isBack := m.hear(c.path)
	m.mu.Unlock()
	if isBack {
		m.publish(c.pool, false)
	}
}

// End ends the call.
func (c *Call) End() {
	if c == nil {
		return
	}
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	delete(c.path.calls, c)
}
