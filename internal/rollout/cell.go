package rollout

// CellKey identifies a cell: requests of one route at one load band. Cells are
// judged separately, because a version may be bad on one route only, or only under
// load.
type CellKey struct {
	Route string
	Band  string
}

// The load bands, by running requests at the upstream.
const (
	BandLow    = "low"
	BandNormal = "normal"
	BandHigh   = "high"
)

// bandOf returns the load band for a number of running requests.
func bandOf(running float64) string {
	switch {
	case running < 4:
		return BandLow
	case running < 16:
		return BandNormal
	}
	return BandHigh
}

// stratumKey identifies requests that are compared with each other: those of the
// same time slot and work level.
type stratumKey struct {
	slot int64
	work uint8
}

// workLevels is the number of levels of prompt work.
const workLevels = 4

// workOf returns the level of prompt work: 0 for up to 256 tokens, 1 for up to
// 1,024, 2 for up to 4,096, and 3 above.
func workOf(tokens int) uint8 {
	switch {
	case tokens <= 256:
		return 0
	case tokens <= 1024:
		return 1
	case tokens <= 4096:
		return 2
	}
	return 3
}

// stratum holds the results of both versions for the same time slot and work
// level.
type stratum struct{ older, newer VersionStats }

// cell holds the evidence of a route and load band.
type cell struct {
	strata map[stratumKey]*stratum
	// older holds the totals of the old version by work level.
	older [workLevels]VersionStats
	// firstSlot and lastSlot are the first and the last slot with evidence.
	firstSlot, lastSlot int64
}

// add merges the results of one version into a stratum.
func (c *cell) add(key stratumKey, newer bool, stats *VersionStats) {
	if c.strata == nil {
		c.strata = map[stratumKey]*stratum{}
		c.firstSlot, c.lastSlot = key.slot, key.slot
	}
	c.firstSlot, c.lastSlot = min(c.firstSlot, key.slot), max(c.lastSlot, key.slot)
	s := c.strata[key]
	if s == nil {
		s = &stratum{}
		c.strata[key] = s
	}
	if newer {
		s.newer.Merge(stats)
		return
	}
	s.older.Merge(stats)
	c.older[key.work].Merge(stats)
}

// sums returns the totals of both versions in slot from and later ones.
func (c *cell) sums(from int64) (older, newer VersionStats) {
	for key, s := range c.strata {
		if key.slot >= from {
			older.Merge(&s.older)
			newer.Merge(&s.newer)
		}
	}
	return older, newer
}
