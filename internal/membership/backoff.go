package membership

import "time"

// RecordBackoff records that an upstream has asked this daemon to send it nothing for some
// time. Of several such times, the one that ends last holds.
func (t *Table) RecordBackoff(u Upstream, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[incarnation{u.Name, u.Address}]
	until := t.options.Now().Add(d)
	if r == nil || r.generation != u.Generation || !until.After(r.backoffUntil) {
		return
	}
	r.backoffUntil = until
	if p := t.view.Load().pools[r.Pool]; p != nil {
		p.invalidate()
	}
}
