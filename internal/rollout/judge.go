package rollout

import (
	"fmt"
	"time"
)

const (
	// FalsePositiveRate is the rate per move at which a good version is found
	// bad. Half of it is divided among the Guards of all daemons, and half is
	// for the controller. It holds for requests that fail or slow down
	// independently within a route, load band, time slot and work level.
	FalsePositiveRate = 0.01
	// holdRate is the rate at which noise in the evidence on a good version
	// delays the next stage.
	holdRate = 0.05

	// sameSlotTolerance is the amount by which the error share of the new
	// version may exceed that of the old one in the same stratum.
	// allSlotsTolerance is the same for a comparison with all old requests
	// of the cell at the same work level.
	sameSlotTolerance = 0.005
	allSlotsTolerance = 0.02
	// sameSlotShift and allSlotsShift are the tolerated slowness in buckets
	// of 19%, for the same two comparisons.
	sameSlotShift = 1
	allSlotsShift = 2
	// minSameSlot is the minimum number of old requests in a stratum for a
	// comparison within it. With fewer, the comparison is with all old requests
	// of the cell at the same work level.
	minSameSlot = 5

	// errorPrior and rankPrior make the tests the most sensitive for a few
	// errors and for about 20 slow requests.
	errorPrior = 1.0
	rankPrior  = 20.0 / 12
)

// Finding is the evidence that a version is bad.
type Finding struct {
	// Kind is "errors", "first_token" or "between_tokens".
	Kind string
	// Cell is the cell in which the version is bad; the zero value means all
	// cells.
	Cell CellKey
	// Older and Newer are the results of both versions.
	Older VersionStats
	Newer VersionStats
}

// Reason describes the finding to the operator.
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
	if f.Kind == metricTokenGap {
		older, newer, what = &f.Older.Gap, &f.Newer.Gap, "between tokens"
	}
	return fmt.Sprintf("%s is slower than %s %s: median %s against %s %s, over %d and %d requests",
		to, from, where, round(newer.Quantile(0.5)), round(older.Quantile(0.5)), what, newer.total, older.total)
}

// round rounds a duration for a message.
func round(d time.Duration) time.Duration {
	if d > 100*time.Millisecond {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(time.Millisecond)
}

const (
	metricErrors     = "errors"
	metricFirstToken = "first_token"
	metricTokenGap   = "between_tokens"
)

// judge returns a finding if the new version is bad at the level alpha, or nil.
// Each cell is tested for errors and both latencies, and all cells together for
// errors. Windows from every slot up to now are tested, so that the good start of
// a version that fails later does not hide the failures. alpha is divided evenly
// among the tests, and within a test half of it is for the window over the whole
// time.
func judge(e *Evidence, alpha float64) *Finding {
	for _, key := range e.keys() {
		if f := judgeCell(e, key, alpha, metricErrors, metricFirstToken, metricTokenGap); f != nil {
			return f
		}
	}
	return judgeAll(e, alpha)
}

// testLevel returns the level of one test.
func testLevel(e *Evidence, alpha float64) float64 { return alpha / float64(3*max(4, len(e.cells))+1) }

// judgeCell tests the given metrics of one cell.
func judgeCell(e *Evidence, key CellKey, alpha float64, metrics ...string) *Finding {
	c := e.cells[key]
	if c == nil {
		return nil
	}
	for _, metric := range metrics {
		if from, bad := c.exceeds(metric, testLevel(e, alpha)); bad {
			older, newer := c.findingSums(from)
			return &Finding{Kind: metric, Cell: key, Older: older, Newer: newer}
		}
	}
	return nil
}

// judgeAll tests the errors of all cells together. With fewer than two cells the
// test of the cell suffices.
func judgeAll(e *Evidence, alpha float64) *Finding {
	if len(e.cells) < 2 {
		return nil
	}
	if from, bad := e.all.exceeds(metricErrors, testLevel(e, alpha)); bad {
		older, newer := e.all.findingSums(from)
		return &Finding{Kind: metricErrors, Older: older, Newer: newer}
	}
	return nil
}

// findingSums returns the totals in slot from and later ones. If the old version
// has none there, the totals of all its requests are returned instead.
func (c *cell) findingSums(from int64) (older, newer VersionStats) {
	older, newer = c.sums(from)
	if older.Requests == 0 && older.First.total == 0 {
		older, _ = c.sums(0)
	}
	return older, newer
}

// exceeds tests a metric over all windows that end now, the shortest first, and
// returns the start of the first window that shows that the new version is bad.
func (c *cell) exceeds(metric string, alpha float64) (from int64, bad bool) {
	if c.strata == nil {
		return 0, false
	}
	prior := rankPrior
	if metric == metricErrors {
		prior = errorPrior
	}
	var score, variance float64
	// unmatched holds the new requests without enough old ones in the same
	// stratum, by work level.
	var unmatched [workLevels]VersionStats
	for slot := c.lastSlot; slot >= c.firstSlot; slot-- {
		for work := range uint8(workLevels) {
			s := c.strata[stratumKey{slot: slot, work: work}]
			if s == nil || s.newer.sampleSize(metric) == 0 {
				continue
			}
			if oldSize := s.older.sampleSize(metric); oldSize < minSameSlot && c.older[work].sampleSize(metric) > oldSize {
				unmatched[work].Merge(&s.newer)
				continue
			}
			ds, dv := compare(metric, &s.newer, &s.older, sameSlotShift, sameSlotTolerance)
			score, variance = score+ds, variance+dv
		}
		totalScore, totalVariance := score, variance
		for work := range unmatched {
			ds, dv := compare(metric, &unmatched[work], &c.older[work], allSlotsShift, allSlotsTolerance)
			totalScore, totalVariance = totalScore+ds, totalVariance+dv
		}
		level := alpha / (2 * maxSlots)
		if slot == c.firstSlot {
			level = alpha / 2
		}
		if totalScore > 0 && totalScore >= boundary(totalVariance, prior, level) {
			return slot, true
		}
	}
	return 0, false
}

// compare returns the score and the variance of a metric; a positive score is
// evidence against the new version.
func compare(metric string, newer, older *VersionStats, shift int, tolerated float64) (score, variance float64) {
	switch metric {
	case metricErrors:
		return errorExcess(newer, older, tolerated)
	case metricFirstToken:
		return rankSum(&newer.First, &older.First, shift)
	}
	return rankSum(&newer.Gap, &older.Gap, shift)
}
