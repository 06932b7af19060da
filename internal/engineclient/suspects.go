package engineclient

import (
	"sync"
	"time"
)

const (
	// silenceAfter is how long a connection must have been silent, when its call
	// is given up, for the other connections to its engine to be suspected.
	// Callers that leave in the middle of an answer do not cause suspicion.
	silenceAfter = time.Second
	// suspectTime is how long no idle connection to a suspected engine is used.
	// By then the idle ones have been closed.
	suspectTime = idleTimeout
)

// suspects holds engines whose idle connections may be silent for good, while
// new ones work. It is safe for concurrent use.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// gaveUp records that a call was given up whose last byte arrived at progress.
func (s *suspects) gaveUp(address string, progress, now time.Time) {
	if now.Sub(progress) < silenceAfter {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	for other, until := range s.until {
		if now.After(until) {
			delete(s.until, other)
		}
	}
	s.until[address] = now.Add(suspectTime)
}

// has reports whether the idle connections to an engine are suspected.
func (s *suspects) has(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address]
	return ok && now.Before(until)
}
