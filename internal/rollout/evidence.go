package rollout

import (
	"sort"
	"time"

	"rattantide/internal/api"
)

const (
	// maxSlots bounds the time slots of a move, and thereby memory and the
	// number of windows that are tested.
	maxSlots = 64
	// minSlot is the minimum length of a time slot.
	minSlot = 250 * time.Millisecond
	// maxCells is the number of cells above which further routes share one cell
	// per load band.
	maxCells = 256
)

// slotLength returns the length of a move's time slots.
func slotLength(deadline time.Duration) time.Duration { return max(minSlot, deadline/maxSlots) }

// Evidence is the results of both versions of a move, measured by one daemon or by
// several. It is not safe for concurrent use.
type Evidence struct {
	cells map[CellKey]*cell
	// all holds the totals of requests, errors and first tokens of all cells.
	all cell
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence { return &Evidence{cells: map[CellKey]*cell{}} }

// add merges the results of one version into a stratum of a cell.
func (e *Evidence) add(cellKey CellKey, key stratumKey, newer bool, stats *VersionStats) {
	c := e.cells[cellKey]
	if c == nil && len(e.cells) >= maxCells {
		cellKey = CellKey{Band: cellKey.Band}
		c = e.cells[cellKey]
	}
	if c == nil {
		c = &cell{}
		e.cells[cellKey] = c
	}
	key.slot = min(max(key.slot, 0), maxSlots)
	key.work = min(key.work, workLevels-1)
	c.add(key, newer, stats)
	e.all.add(key, newer, &VersionStats{Requests: stats.Requests, Errors: stats.Errors, First: stats.First})
}

// AddRows merges rows, such as those of another daemon. Values out of range are
// clipped or ignored.
func (e *Evidence) AddRows(rows []Row) {
	for i := range rows {
		r := &rows[i]
		stats := VersionStats{Requests: max(0, r.Requests), Errors: max(0, r.Errors)}
		stats.First.addSparse(r.First)
		stats.Gap.addSparse(r.Gap)
		e.add(CellKey{Route: r.Route, Band: r.Band}, stratumKey{slot: r.Slot, work: r.Work}, r.New, &stats)
	}
}

// Rows returns the evidence in slot from and later ones, in no particular order.
func (e *Evidence) Rows(from int64) []Row {
	var rows []Row
	for cellKey, c := range e.cells {
		for key, s := range c.strata {
			if key.slot < from {
				continue
			}
			for _, stats := range []*VersionStats{&s.older, &s.newer} {
				if stats.Requests == 0 && stats.First.total == 0 {
					continue
				}
				rows = append(rows, Row{
					Route: cellKey.Route, Band: cellKey.Band, Slot: key.slot, Work: key.work, New: stats == &s.newer,
					Requests: stats.Requests, Errors: stats.Errors, First: stats.First.sparse(), Gap: stats.Gap.sparse(),
				})
			}
		}
	}
	return rows
}

// Totals returns the requests, errors and first tokens of both versions in slot
// from and later ones.
func (e *Evidence) Totals(from int64) (older, newer VersionStats) { return e.all.sums(from) }

// keys returns the keys of the cells, sorted.
func (e *Evidence) keys() []CellKey {
	keys := make([]CellKey, 0, len(e.cells))
	for key := range e.cells {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Route != keys[j].Route {
			return keys[i].Route < keys[j].Route
		}
		return keys[i].Band < keys[j].Band
	})
	return keys
}

// Summary returns the evidence in the form of the move's status. from and to are
// the names of the old and the new version.
func (e *Evidence) Summary(from, to string) []api.MoveEvidence {
	var out []api.MoveEvidence
	for _, key := range e.keys() {
		older, newer := e.cells[key].sums(0)
		for _, stats := range []*VersionStats{&older, &newer} {
			if stats.Requests == 0 && stats.First.total == 0 {
				continue
			}
			version := from
			if stats == &newer {
				version = to
			}
			out = append(out, api.MoveEvidence{
				Version: version, Route: key.Route, LoadBand: key.Band,
				Requests: int64(stats.Requests), Errors: int64(stats.Errors),
				P95Ms: float64(stats.First.Quantile(0.95)) / float64(time.Millisecond),
			})
		}
	}
	return out
}
