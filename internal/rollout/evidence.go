package rollout

import (
	"sort"
	"time"

	"rattantide/internal/api"
)

const (
	// maxSlots bounds the time slots of a move; it bounds memory and the number
	// of windows that are tested.
	maxSlots = 64
	minSlot  = 250 * time.Millisecond
	// maxCells bounds the combinations of route and load band.
	maxCells = 256
)

// slotLength returns the length of a move's time slots.
func slotLength(deadline time.Duration) time.Duration { return max(minSlot, deadline/maxSlots) }

// Evidence is what was seen of both versions of a move, by one daemon or by
// several. It is not safe for concurrent use.
type Evidence struct {
	cells map[CellKey]*cell
	// all counts the requests, errors and first tokens of all cells.
	all cell
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence { return &Evidence{cells: map[CellKey]*cell{}} }

func (e *Evidence) add(key CellKey, at stratumKey, newer bool, seen *Side) {
	c := e.cells[key]
	if c == nil && len(e.cells) >= maxCells {
		key = CellKey{Band: key.Band}
		c = e.cells[key]
	}
	if c == nil {
		c = &cell{}
		e.cells[key] = c
	}
	at.slot = min(max(at.slot, 0), maxSlots)
	at.work = min(at.work, workLevels-1)
	c.add(at, newer, seen)
	e.all.add(at, newer, &Side{Requests: seen.Requests, Errors: seen.Errors, First: seen.First})
}

// AddRows merges rows of another daemon.
func (e *Evidence) AddRows(rows []Row) {
	for i := range rows {
		r := &rows[i]
		seen := Side{Requests: max(0, r.Requests), Errors: max(0, r.Errors)}
		seen.First.addSparse(r.First)
		seen.Gap.addSparse(r.Gap)
		e.add(CellKey{Route: r.Route, Band: r.Band}, stratumKey{slot: r.Slot, work: r.Work}, r.New, &seen)
	}
}

// Rows returns the evidence from a slot on.
func (e *Evidence) Rows(from int64) []Row {
	var rows []Row
	for key, c := range e.cells {
		for at, s := range c.strata {
			if at.slot < from {
				continue
			}
			for _, side := range []*Side{&s.older, &s.newer} {
				if side.Requests == 0 && side.First.total == 0 {
					continue
				}
				rows = append(rows, Row{
					Route: key.Route, Band: key.Band, Slot: at.slot, Work: at.work, New: side == &s.newer,
					Requests: side.Requests, Errors: side.Errors, First: side.First.sparse(), Gap: side.Gap.sparse(),
				})
			}
		}
	}
	return rows
}

// Totals returns both versions' requests, errors and first tokens from a slot
// on.
func (e *Evidence) Totals(from int64) (older, newer Side) { return e.all.sums(from) }

// keys returns the cells in a fixed order.
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

// Summary returns the evidence as the move's status shows it.
func (e *Evidence) Summary(from, to string) []api.MoveEvidence {
	var out []api.MoveEvidence
	for _, key := range e.keys() {
		older, newer := e.cells[key].sums(0)
		for _, side := range []*Side{&older, &newer} {
			if side.Requests == 0 && side.First.total == 0 {
				continue
			}
			version := from
			if side == &newer {
				version = to
			}
			out = append(out, api.MoveEvidence{
				Version: version, Route: key.Route, LoadBand: key.Band,
				Requests: int64(side.Requests), Errors: int64(side.Errors),
				P95Ms: float64(side.First.Quantile(0.95)) / float64(time.Millisecond),
			})
		}
	}
	return out
}
