package callerbudget

import "time"

// Reservation is what one request or connection holds. Its methods are safe for concurrent use.
type Reservation struct {
	budget   *Budget
	caller   Caller
	onRevoke func()

	size int64
	// revocableFrom is when the reservation may be revoked, if it is in Budget.revocable.
	revocableFrom time.Time
	isRevoked     bool
}

// Grow charges n more. If the budget does not allow that, it revokes revocable
// reservations until it does. It reports false if that does not suffice or if the reservation
// itself was revoked.
func (p *Reservation) Grow(n int64, now time.Time) bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.isRevoked {
		return false
	}
	for !b.allows(p, n) {
		v := b.victim(p, now)
		if v == nil {
			b.refused++
			return false
		}
		b.add(v, -v.size)
		delete(b.revocable, v)
		v.isRevoked = true
		b.revoked++
		v.onRevoke()
	}
	b.add(p, n)
	return true
}

// MakeRevocable allows the budget to revoke the reservation from a time on, because what it
// holds can be dropped without harm.
func (p *Reservation) MakeRevocable(from time.Time) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.isRevoked {
		return
	}
	p.revocableFrom = from
	b.revocable[p] = struct{}{}
}

// Pin ends MakeRevocable. It reports false if the reservation was revoked.
func (p *Reservation) Pin() bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.revocable, p)
	return !p.isRevoked
}

// IsRevoked reports whether the reservation was revoked.
func (p *Reservation) IsRevoked() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.isRevoked
}

// Close releases the reservation. onRevoke is not called afterwards.
func (p *Reservation) Close() {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.revocable, p)
	b.add(p, -p.size)
}
