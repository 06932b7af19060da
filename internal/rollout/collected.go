package rollout

// collected is the evidence that a controller has gathered on a move, kept per
// daemon and slot so that a slot that is reported again replaces itself.
type collected struct {
	rows    map[string]map[int64][]Row
	verdict *Verdict
	// peersSlot is the slot in which peers were last asked; -1 before.
	peersSlot int64
}

// take merges a report. Rows of slots that it covers replace those held.
func (c *collected) take(r *Report) {
	if r.Verdict != nil && c.verdict == nil {
		c.verdict = r.Verdict
	}
	if c.rows == nil {
		c.rows = map[string]map[int64][]Row{}
	}
	held := c.rows[r.Daemon]
	if held == nil {
		held = map[int64][]Row{}
		c.rows[r.Daemon] = held
	}
	for slot := range held {
		if slot >= r.Since {
			delete(held, slot)
		}
	}
	for _, row := range r.Rows {
		held[row.Slot] = append(held[row.Slot], row)
	}
}

func (c *collected) evidence() *Evidence {
	e := NewEvidence()
	for _, slots := range c.rows {
		for _, rows := range slots {
			e.AddRows(rows)
		}
	}
	return e
}
