package membership

// UpstreamLoad is the load report of one process of an upstream.
type UpstreamLoad struct {
	Name       string
	Address    string
	Generation int64
	Load       Load
}

// SetLoads stores load reports that another component has found to be the newest of their
// processes. Those of other processes than the current ones are ignored.
func (t *Table) SetLoads(loads []UpstreamLoad) {
	if len(loads) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v, now := t.view.Load(), t.options.Now()
	// One allocation for all, as the reports of an exchange arrive together.
	stored := make([]Load, len(loads))
	for i := range loads {
		r := v.upstreams[loads[i].Name]
		if r == nil || r.Address != loads[i].Address || r.generation != loads[i].Generation {
			continue
		}
		stored[i] = loads[i].Load
		if stored[i].ReceivedAt.IsZero() {
			stored[i].ReceivedAt = now
		}
		r.load = &stored[i]
		v.pools[r.Pool].markLoadsStale()
	}
}
