package routing

import "rattantide/internal/membership"

// Peek returns the candidates for a request like Candidates, but changes nothing: it works on a
// copy of the state. It is for explanations; it takes several times as long and allocates.
func (t *Tracker) Peek(req *Request, upstreams []membership.Upstream) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The index is shared, as Candidates only reads it. sweptAt keeps it from being swept.
	c := &Tracker{
		states: make(map[string]*upstreamState, len(upstreams)), index: t.index, usedSlots: t.usedSlots,
		tokensPerSecond: t.tokensPerSecond, meanTokens: t.meanTokens, startTime: t.startTime,
	}
	c.sweptAt = c.since(req.Now)
	for i := range upstreams {
		u := &upstreams[i]
		if s := t.states[u.Name]; s != nil {
			state := *s
			if s.domain != nil {
				domain := *s.domain
				state.domain = &domain
			}
			c.states[u.Name] = &state
			continue
		}
		// Without a slot, the upstream has no blocks in the index.
		c.states[u.Name] = newUpstreamState(u.Name, -1)
		c.states[u.Name].domain = &domainReclaims{rate: reclaimPrior}
	}
	return c.Candidates(req, upstreams, nil)
}

// Peek returns the candidates of a pool like Tracker.Peek. It does not create a tracker.
func (t *Trackers) Peek(pool string, req *Request, upstreams []membership.Upstream) []Candidate {
	t.mu.Lock()
	tracker := t.pools[pool]
	t.mu.Unlock()
	if tracker == nil {
		tracker = NewTracker(t.IndexBlocks)
	}
	return tracker.Peek(req, upstreams)
}
