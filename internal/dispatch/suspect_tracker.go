package dispatch

import (
	"sync"

	"rattantide/internal/membership"
)

// suspectTracker counts, per upstream, the open attempts of suspects: requests
// that were running on an upstream when it crashed. It is safe for concurrent
// use.
type suspectTracker struct {
	mu   sync.Mutex
	open map[string]int
}

// recordStart adds an open attempt of a suspect.
func (s *suspectTracker) recordStart(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[string]int{}
	}
	s.open[upstream]++
}

// recordEnd removes an open attempt of a suspect.
func (s *suspectTracker) recordEnd(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[upstream]--
	if s.open[upstream] <= 0 {
		delete(s.open, upstream)
	}
}

// withoutSuspects returns the upstreams without an open suspect, or all of them
// when each has one. When two requests were running on every upstream that
// crashed, the crashes cannot be attributed to either. Suspects of the same
// crash are therefore tried on different upstreams, so that only the request
// that causes the crashes is involved in a second one.
func (s *suspectTracker) withoutSuspects(upstreams []membership.Upstream) []membership.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) == 0 {
		return upstreams
	}
	free := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if s.open[upstreams[i].Name] == 0 {
			free = append(free, upstreams[i])
		}
	}
	if len(free) == 0 {
		return upstreams
	}
	return free
}
