package dispatch

import (
	"sync"

	"rattantide/internal/membership"
)

// suspects counts, per upstream, the open attempts of requests that were on an
// upstream which crashed. It is safe for concurrent use.
type suspects struct {
	mu   sync.Mutex
	open map[string]int
}

// started records an open attempt of a suspect.
func (s *suspects) started(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[string]int{}
	}
	s.open[upstream]++
}

// ended records the end of an attempt of a suspect.
func (s *suspects) ended(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[upstream]--
	if s.open[upstream] <= 0 {
		delete(s.open, upstream)
	}
}

// apart returns the upstreams without another suspect, or all of them when
// each has one. Two requests that share every crash cannot be told apart, so
// suspects of one crash are tried on different upstreams: only the request that
// causes the crashes then sees a second one.
func (s *suspects) apart(upstreams []membership.Upstream) []membership.Upstream {
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
