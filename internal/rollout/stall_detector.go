package rollout

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is the interval of the ticks by which stalls are detected.
	stallTick = 200 * time.Millisecond
	// stallGap is the time between two ticks above which a stall is detected.
	stallGap = time.Second
	// stallSettle is how long after a stall the daemon works off its backlog.
	// During that time a good version appeared seven times slower than the old
	// one had been before the stall, and was undone.
	stallSettle = 5 * time.Second
)

// stallDetector detects that this daemon did not run for a while, because its
// process or its instance was suspended. Measurements around that time say nothing
// about versions. The zero value has detected no stall. It is safe for concurrent
// use.
type stallDetector struct {
	mu sync.Mutex
	// lastTick is the time of the last tick. Attempts that started before
	// affectedUntil are affected by the last stall.
	lastTick      time.Time
	affectedUntil time.Time
}

// run ticks until ctx ends.
func (s *stallDetector) run(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for {
		s.tick(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick records that this daemon runs at now.
func (s *stallDetector) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLocked(now)
	s.lastTick = now
}

// covers reports whether an attempt that started at the given time was affected by
// a stall, including one that no tick has detected yet.
func (s *stallDetector) covers(started, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLocked(now)
	return started.Before(s.affectedUntil)
}

// checkLocked detects a stall before now. The caller holds s.mu.
func (s *stallDetector) checkLocked(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > stallGap {
		s.affectedUntil = now.Add(stallSettle)
	}
}
