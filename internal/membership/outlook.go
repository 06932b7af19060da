package membership

import "time"

// Outlook is what is known of when a pool without usable upstreams has one again. The zero
// value means that this may be at any time.
type Outlook struct {
	// AllLeaving is set if the pool has known upstreams and all of them are leaving.
	AllLeaving bool
	// BackoffUntil is when the first backoff ends if all upstreams that are not leaving
	// asked for one, and zero otherwise.
	BackoffUntil time.Time
}

// Outlook returns the Outlook of a pool.
func (t *Table) Outlook(pool string) Outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.view.Load().pools[pool]
	if p == nil {
		return Outlook{}
	}
	now := t.options.Now()
	o := Outlook{AllLeaving: true}
	for _, r := range p.records {
		if r.isLeaving() {
			continue
		}
		if !now.Before(r.backoffUntil) {
			return Outlook{}
		}
		if o.AllLeaving || r.backoffUntil.Before(o.BackoffUntil) {
			o.AllLeaving, o.BackoffUntil = false, r.backoffUntil
		}
	}
	return o
}
