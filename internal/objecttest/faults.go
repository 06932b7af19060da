package objecttest

import "time"

// faults are the injected faults of a Store.
type faults struct {
	outage bool
	// loseAnswers is the number of further writes that take effect although the
	// caller gets ErrUnavailable.
	loseAnswers int
	// deferWrites is the number of further writes that are deferred until
	// ApplyDeferredWrites, while the caller gets ErrUnavailable.
	deferWrites int
	latency     time.Duration
	// staleRevisions is the number of revisions by which reads are behind the current
	// state.
	staleRevisions int64
}

// SetOutage switches an outage on or off. During an outage every call fails with
// ErrUnavailable and has no effect. Its start ends all watches.
func (s *Store) SetOutage(isActive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = isActive
	s.notifyWatches()
}

// LoseAnswers makes the next n writes take effect while the caller gets
// ErrUnavailable.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// DeferWrites defers the next n writes: the caller gets ErrUnavailable, and the
// write takes effect at ApplyDeferredWrites, if its condition holds then.
func (s *Store) DeferWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.deferWrites = n
}

// ApplyDeferredWrites applies the writes that DeferWrites deferred, in order, and
// returns the number of writes that took effect. Writes whose condition no longer holds
// are dropped.
func (s *Store) ApplyDeferredWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	deferred := s.deferredWrites
	s.deferredWrites = nil
	applied := 0
	for _, write := range deferred {
		if write() {
			applied++
		}
	}
	return applied
}

// SetLatency sets a delay that every call waits before it takes effect.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = d
}

// SetStaleRevisions makes reads return the state of the given number of revisions ago.
// Conditional writes are not affected.
func (s *Store) SetStaleRevisions(revisions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.staleRevisions = revisions
}

// SetClock sets the source of the store's time. The default is time.Now.
func (s *Store) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = now
}

// Compact makes the store treat all events so far as compacted, so that a watch
// since an earlier revision fails with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notifyWatches()
}
