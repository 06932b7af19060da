package engine

import (
	"net/http"
	"sync"
)

// maxConnections bounds the connections that are remembered.
const maxConnections = 65536

// silence remembers connections by their remote address and which of them are
// silent.
type silence struct {
	mu     sync.Mutex
	open   map[string]bool
	silent map[string]bool
}

// check records the connection of r and reports whether it is silent.
func (s *silence) check(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil || len(s.open) > maxConnections {
		s.open = map[string]bool{}
	}
	s.open[r.RemoteAddr] = true
	return s.silent[r.RemoteAddr]
}

// is reports whether the connection of r is silent.
func (s *silence) is(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[r.RemoteAddr]
}

// begin makes all known connections silent.
func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.open = s.open, nil
}

// end forgets which connections are silent. Calls that hang go on hanging,
// because a connection never recovers.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = nil
}
