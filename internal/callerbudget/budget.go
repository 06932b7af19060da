package callerbudget

import (
	"sync"
	"time"
)

// Budget bounds what the requests of callers hold together. Up to half of the limit,
// anyone may hold any share. Beyond that, the reservations of one address, and those of one
// workspace, may add up to no more than what is still free, so that one caller gets half of the
// limit, two callers a third each, and some room is always left for another. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	held  int64
	// peak is the highest value of held.
	peak        int64
	byAddress   map[string]int64
	byWorkspace map[string]int64
	// revocable is the set of reservations that may be revoked from their revocableFrom on.
	revocable map[*Reservation]struct{}
	revoked   int64
	refused   int64
}

// New returns a Budget with the given limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byAddress: map[string]int64{}, byWorkspace: map[string]int64{}, revocable: map[*Reservation]struct{}{}}
}

// Stats are the figures of a Budget.
type Stats struct {
	Limit, Held, Peak int64
	// Revoked counts the reservations that were revoked, and Refused the calls of Grow that
	// were refused.
	Revoked, Refused int64
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Held: b.held, Peak: b.peak, Revoked: b.revoked, Refused: b.refused}
}

// Open returns a reservation of size 0. onRevoke is called, with the budget locked, when the
// reservation is revoked for another; it must not block.
func (b *Budget) Open(c Caller, onRevoke func()) *Reservation {
	return &Reservation{budget: b, caller: c, onRevoke: onRevoke}
}

// allows reports whether a reservation may grow by n.
func (b *Budget) allows(p *Reservation, n int64) bool {
	// The only reservation always fits: its request is bounded by the limit of a body.
	if b.held == p.size {
		return true
	}
	free := b.limit - b.held
	switch {
	case n > free:
		return false
	case b.held+n <= b.limit/2:
		return true
	}
	return b.byAddress[p.caller.Address]+n <= free && b.byWorkspace[p.caller.Workspace]+n <= free
}

// victim returns the reservation to revoke for p: of those that are revocable at now, one of
// the address that holds most, and of these the one that became revocable first.
func (b *Budget) victim(p *Reservation, now time.Time) *Reservation {
	var best *Reservation
	var most int64
	for v := range b.revocable {
		if v == p || v.size == 0 || v.revocableFrom.After(now) {
			continue
		}
		ofAddress := b.byAddress[v.caller.Address]
		if best == nil || ofAddress > most || ofAddress == most && v.revocableFrom.Before(best.revocableFrom) {
			best, most = v, ofAddress
		}
	}
	return best
}

// add charges n, which may be negative, to a reservation.
func (b *Budget) add(p *Reservation, n int64) {
	if n == 0 {
		return
	}
	p.size += n
	b.held += n
	b.peak = max(b.peak, b.held)
	addTo(b.byAddress, p.caller.Address, n)
	addTo(b.byWorkspace, p.caller.Workspace, n)
}

func addTo(sums map[string]int64, name string, n int64) {
	if name == "" {
		return
	}
	sum := sums[name] + n
	if sum == 0 {
		delete(sums, name)
		return
	}
	sums[name] = sum
}
