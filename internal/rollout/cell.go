package rollout

// CellKey names what is judged on its own: a version may be bad on one route
// only, or only under load.
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

func bandOf(running float64) string {
	switch {
	case running < 4:
		return BandLow
	case running < 16:
		return BandNormal
	}
	return BandHigh
}

// stratumKey names requests that are compared with each other: of the same
// time and about the same prompt work.
type stratumKey struct {
	slot int64
	work uint8
}

const workLevels = 4

// workOf returns the level of prompt work: up to 256, 1,024 or 4,096 tokens,
// or more.
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

// stratum holds both versions' requests of the same time and work.
type stratum struct{ older, newer Side }

type cell struct {
	strata map[stratumKey]*stratum
	// older sums up the old version by work level.
	older [workLevels]Side
	// first and last are the slots in use.
	first, last int64
}

func (c *cell) add(key stratumKey, newer bool, seen *Side) {
	if c.strata == nil {
		c.strata = map[stratumKey]*stratum{}
		c.first, c.last = key.slot, key.slot
	}
	c.first, c.last = min(c.first, key.slot), max(c.last, key.slot)
	s := c.strata[key]
	if s == nil {
		s = &stratum{}
		c.strata[key] = s
	}
	if newer {
		s.newer.Merge(seen)
		return
	}
	s.older.Merge(seen)
	c.older[key.work].Merge(seen)
}

// sums returns both versions' totals from a slot on.
func (c *cell) sums(from int64) (older, newer Side) {
	for key, s := range c.strata {
		if key.slot >= from {
			older.Merge(&s.older)
			newer.Merge(&s.newer)
		}
	}
	return older, newer
}
