package objectapi

import "sync"

// Stats counts calls since the start.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches counts all watch calls, WatchesOpen those that are open now.
	Watches     int64 `json:"watches"`
	WatchesOpen int64 `json:"watchesOpen"`
	Conflicts   int64 `json:"conflicts"`
	// Limited counts the calls that failed with status 429, Unavailable those that
	// failed with status 503.
	Limited     int64 `json:"limited"`
	Unavailable int64 `json:"unavailable"`
	// WritesByKind and ReadsByKind count the calls of each kind.
	WritesByKind map[string]int64 `json:"writesByKind"`
	ReadsByKind  map[string]int64 `json:"readsByKind"`
}

type counters struct {
	mu    sync.Mutex
	stats Stats
}

func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.WritesByKind == nil {
		c.stats.WritesByKind, c.stats.ReadsByKind = map[string]int64{}, map[string]int64{}
	}
	change(&c.stats)
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.WritesByKind, out.ReadsByKind = map[string]int64{}, map[string]int64{}
	for kind, n := range c.stats.WritesByKind {
		out.WritesByKind[kind] = n
	}
	for kind, n := range c.stats.ReadsByKind {
		out.ReadsByKind[kind] = n
	}
	return out
}
