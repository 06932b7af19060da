package rollout

import (
	"fmt"
	"time"
)

const (
	// FalsePositiveRate is the stated rate at which a good version is found
	// bad, per move: half of it is for all daemons' guards together, half for
	// the controller. It holds for requests that fail or slow down
	// independently within a route, load band, time slot and work level.
	FalsePositiveRate = 0.01
	// holdRate is the rate at which the evidence on a good version delays an
	// advance.
	holdRate = 0.05

	// toleratedErrors is the share of errors by which a new version may exceed
	// the old one; toleratedLate is the same for requests that are compared
	// with earlier ones of the old version.
	toleratedErrors = 0.005
	toleratedLate   = 0.02
	// shiftNow and shiftLate are the tolerated slowness in buckets of 19%.
	shiftNow  = 1
	shiftLate = 2
	// minSameTime is the least number of old requests in a stratum to compare
	// with; below it the comparison is with all old requests of the cell.
	minSameTime = 5

	// errorPrior and rankPrior make the tests sharpest for a few errors and
	// for about 20 slow requests.
	errorPrior = 1.0
	rankPrior  = 20.0 / 12
)

// Finding says why a version is bad.
type Finding struct {
	// Kind is "errors", "first_token" or "between_tokens".
	Kind  string
	Cell  CellKey
	Older Side
	Newer Side
}

// Reason tells the operator what was found, in plain words.
func (f *Finding) Reason(from, to string) string {
	where := "on all routes"
	if f.Cell != (CellKey{}) {
		where = fmt.Sprintf("on route %s at %s load", f.Cell.Route, f.Cell.Band)
	}
	if f.Kind == metricErrors {
		return fmt.Sprintf("%s fails more often than %s %s: %d of %d requests failed against %d of %d",
			to, from, where, f.Newer.Errors, f.Newer.Requests, f.Older.Errors, f.Older.Requests)
	}
	older, newer, what := &f.Older.First, &f.Newer.First, "to the first token or answer"
	if f.Kind == metricGap {
		older, newer, what = &f.Older.Gap, &f.Newer.Gap, "between tokens"
	}
	return fmt.Sprintf("%s is slower than %s %s: median %s against %s %s, over %d and %d requests",
		to, from, where, round(newer.Quantile(0.5)), round(older.Quantile(0.5)), what, newer.total, older.total)
}

func round(d time.Duration) time.Duration {
	if d > 100*time.Millisecond {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(time.Millisecond)
}

const (
	metricErrors = "errors"
	metricFirst  = "first_token"
	metricGap    = "between_tokens"
)

// judge returns what is bad about the new version at the level alpha, or nil.
// Each cell is tested for errors and both latencies, and all cells together
// for errors. Every start of a window is tested, so that a version that fails
// later is not covered up by its good start. alpha is split evenly over the
// tests, and within a test half goes to the whole time.
func judge(e *Evidence, alpha float64) *Finding {
	for _, key := range e.keys() {
		if f := judgeCell(e, key, alpha, metricErrors, metricFirst, metricGap); f != nil {
			return f
		}
	}
	return judgeAll(e, alpha)
}

func testLevel(e *Evidence, alpha float64) float64 { return alpha / float64(3*max(4, len(e.cells))+1) }

func judgeCell(e *Evidence, key CellKey, alpha float64, metrics ...string) *Finding {
	c := e.cells[key]
	if c == nil {
		return nil
	}
	for _, metric := range metrics {
		if from, bad := c.exceeds(metric, testLevel(e, alpha)); bad {
			older, newer := c.reported(from)
			return &Finding{Kind: metric, Cell: key, Older: older, Newer: newer}
		}
	}
	return nil
}

func judgeAll(e *Evidence, alpha float64) *Finding {
	if len(e.cells) < 2 {
		return nil
	}
	if from, bad := e.all.exceeds(metricErrors, testLevel(e, alpha)); bad {
		older, newer := e.all.reported(from)
		return &Finding{Kind: metricErrors, Older: older, Newer: newer}
	}
	return nil
}

// reported returns the sums from a slot on, with all old requests when there
// are none since.
func (c *cell) reported(from int64) (older, newer Side) {
	older, newer = c.sums(from)
	if older.Requests == 0 && older.First.total == 0 {
		older, _ = c.sums(0)
	}
	return older, newer
}

// exceeds tests a metric over all windows that end now and returns the start
// of the first one that rejects.
func (c *cell) exceeds(metric string, alpha float64) (from int64, bad bool) {
	if c.strata == nil {
		return 0, false
	}
	prior := rankPrior
	if metric == metricErrors {
		prior = errorPrior
	}
	var score, variance float64
	// late holds the new requests without old ones of the same time.
	var late [workLevels]Side
	for slot := c.last; slot >= c.first; slot-- {
		for work := range uint8(workLevels) {
			s := c.strata[stratumKey{slot: slot, work: work}]
			if s == nil || s.newer.seen(metric) == 0 {
				continue
			}
			if old := s.older.seen(metric); old < minSameTime && c.older[work].seen(metric) > old {
				late[work].Merge(&s.newer)
				continue
			}
			ds, dv := compare(metric, &s.newer, &s.older, shiftNow, toleratedErrors)
			score, variance = score+ds, variance+dv
		}
		total, spread := score, variance
		for work := range late {
			ds, dv := compare(metric, &late[work], &c.older[work], shiftLate, toleratedLate)
			total, spread = total+ds, spread+dv
		}
		level := alpha / (2 * maxSlots)
		if slot == c.first {
			level = alpha / 2
		}
		if total > 0 && total >= boundary(spread, prior, level) {
			return slot, true
		}
	}
	return 0, false
}

func compare(metric string, newer, older *Side, shift int, tolerated float64) (score, variance float64) {
	switch metric {
	case metricErrors:
		return errorExcess(newer, older, tolerated)
	case metricFirst:
		return rankSum(&newer.First, &older.First, shift)
	}
	return rankSum(&newer.Gap, &older.Gap, shift)
}
