package callerbudget

import "time"

// Part is what one request or connection holds. Its methods are safe for concurrent use.
type Part struct {
	budget   *Budget
	caller   Caller
	takeBack func()

	size int64
	// exposedFrom is when the part may be taken back, if it is in Budget.exposed.
	exposedFrom time.Time
	isTaken     bool
}

// Grow charges n more. If the budget does not allow that, it takes back exposed parts until
// it does. It reports false if that does not suffice or if the part itself was taken back.
func (p *Part) Grow(n int64, now time.Time) bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.isTaken {
		return false
	}
	for !b.allows(p, n) {
		v := b.victim(p, now)
		if v == nil {
			b.refused++
			return false
		}
		b.add(v, -v.size)
		delete(b.exposed, v)
		v.isTaken = true
		b.taken++
		v.takeBack()
	}
	b.add(p, n)
	return true
}

// Expose allows that the part is taken back from a time on, because what it holds can be
// dropped without harm.
func (p *Part) Expose(from time.Time) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.isTaken {
		return
	}
	p.exposedFrom = from
	b.exposed[p] = struct{}{}
}

// Keep ends Expose. It reports false if the part was taken back.
func (p *Part) Keep() bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.exposed, p)
	return !p.isTaken
}

// IsTaken reports whether the part was taken back.
func (p *Part) IsTaken() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.isTaken
}

// Close gives the part back. takeBack is not called afterwards.
func (p *Part) Close() {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.exposed, p)
	b.add(p, -p.size)
}
