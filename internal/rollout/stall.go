package rollout

import (
	"context"
	"sync"
	"time"
)

const (
	stallTick = 200 * time.Millisecond
	// stallGap is the gap in this daemon's own time that counts as a stall.
	stallGap = time.Second
	// stallSettle is how long after a stall the daemon works off what has piled
	// up. In that burst a good version looked seven times slower than the old one
	// before it, and was taken back.
	stallSettle = 5 * time.Second
)

// stall notices that this daemon did not run for a while, because its process
// or its instance was paused. What it measures around that time says nothing
// about versions. The zero value has seen no stall.
type stall struct {
	mu    sync.Mutex
	last  time.Time
	until time.Time
}

// run looks at the time until ctx ends.
func (s *stall) run(ctx context.Context) {
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

func (s *stall) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLocked(now)
	s.last = now
}

// covers reports whether an attempt that started at the given time was affected
// by a stall, also by one that no tick has noticed yet.
func (s *stall) covers(started, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLocked(now)
	return started.Before(s.until)
}

func (s *stall) checkLocked(now time.Time) {
	if !s.last.IsZero() && now.Sub(s.last) > stallGap {
		s.until = now.Add(stallSettle)
	}
}
