package rollout

// collectedEvidence is the evidence that a controller has collected on a move. It
// is stored by daemon and slot, so that a slot that is reported again replaces the
// earlier rows.
type collectedEvidence struct {
	rows    map[string]map[int64][]Row
	verdict *Verdict
	// lastPeerSlot is the slot in which the evidence of the peers was last
	// collected; -1 before the first time.
	lastPeerSlot int64
}

// merge adds a report. Its rows replace all rows of the same daemon in slot Since
// and later ones.
func (c *collectedEvidence) merge(r *Report) {
	if r.Verdict != nil && c.verdict == nil {
		c.verdict = r.Verdict
	}
	if c.rows == nil {
		c.rows = map[string]map[int64][]Row{}
	}
	slots := c.rows[r.Daemon]
	if slots == nil {
		slots = map[int64][]Row{}
		c.rows[r.Daemon] = slots
	}
	for slot := range slots {
		if slot >= r.Since {
			delete(slots, slot)
		}
	}
	for _, row := range r.Rows {
		slots[row.Slot] = append(slots[row.Slot], row)
	}
}

// evidence returns the sum of the collected rows.
func (c *collectedEvidence) evidence() *Evidence {
	e := NewEvidence()
	for _, slots := range c.rows {
		for _, rows := range slots {
			e.AddRows(rows)
		}
	}
	return e
}
