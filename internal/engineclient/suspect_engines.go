package engineclient

import (
	"sync"
	"time"
)

const (
	// stallThreshold is the time without data after which a cancelled call makes the
	// engine's idle connections suspect. A call that is cancelled while data still
	// arrives, for example because the caller disconnected, does not.
	stallThreshold = time.Second
	// suspectPeriod is how long the idle connections to a suspect engine are not
	// used. After that time they have been closed by idleTimeout.
	suspectPeriod = idleTimeout
)

// suspectEngines tracks engines whose idle connections may be dead, with no data or
// error ever arriving, while new connections work. It is safe for concurrent use.
type suspectEngines struct {
	mu sync.Mutex
	// until maps the address of a suspect engine to the end of its suspect period.
	until map[string]time.Time
}

// recordCanceledCall records that a call to an engine was cancelled at now. lastByteAt
// is when the call last received data, or when it started.
func (s *suspectEngines) recordCanceledCall(address string, lastByteAt, now time.Time) {
	if now.Sub(lastByteAt) < stallThreshold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	for engine, until := range s.until {
		if now.After(until) {
			delete(s.until, engine)
		}
	}
	s.until[address] = now.Add(suspectPeriod)
}

// isSuspect reports whether the idle connections to an engine are suspect.
func (s *suspectEngines) isSuspect(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address]
	return ok && now.Before(until)
}
