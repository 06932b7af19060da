package configsync

import (
	"maps"
	"sync"
)

// suspects is the set of addresses of daemons whose latest poll failed. It is safe
// for concurrent use.
type suspects struct {
	mu        sync.Mutex
	addresses map[string]bool
}

func (s *suspects) snapshot() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.addresses)
}

// setSuspect adds an address to the set or removes it, and reports whether the set
// changed.
func (s *suspects) setSuspect(address string, suspect bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses[address] == suspect {
		return false
	}
	if suspect {
		s.addresses[address] = true
	} else {
		delete(s.addresses, address)
	}
	return true
}
