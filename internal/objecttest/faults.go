package objecttest

import "time"

// faults are the switches of a Store.
type faults struct {
	outage bool
	// loseAnswers is the number of coming writes that take effect although the
	// caller gets ErrUnavailable.
	loseAnswers int
	// holdWrites is the number of coming writes that are kept back, with
	// ErrUnavailable for the caller, until ReleaseWrites.
	holdWrites int
	latency    time.Duration
	// staleBy is how many revisions reads lag behind.
	staleBy int64
}

// SetOutage makes every call fail with ErrUnavailable and without effect, and
// ends all watches.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = on
	s.wake()
}

// LoseAnswers makes the next n writes take effect while the caller gets
// ErrUnavailable.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// HoldWrites keeps the next n writes back: the caller gets ErrUnavailable and
// the write takes effect at ReleaseWrites, if its condition holds by then.
func (s *Store) HoldWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.holdWrites = n
}

// ReleaseWrites tries the writes that were kept back, in order, and returns
// how many took effect.
func (s *Store) ReleaseWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	done := 0
	for _, write := range held {
		if write() {
			done++
		}
	}
	return done
}

// SetLatency delays every call before it takes effect.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = d
}

// SetStale makes reads answer with the state of the given number of revisions
// before the current one. Conditional writes are not affected.
func (s *Store) SetStale(revisions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.staleBy = revisions
}

// SetClock sets the source of the store's time. Default time.Now.
func (s *Store) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = now
}

// Compact forgets the events up to the current revision, so that a watch since
// an earlier one gets ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.wake()
}
