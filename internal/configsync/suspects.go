package configsync

import (
	"maps"
	"sync"
)

// suspects are the addresses of daemons whose last poll failed. It is safe for
// concurrent use.
type suspects struct {
	mu        sync.Mutex
	addresses map[string]bool
}

func (s *suspects) names() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.addresses)
}

// set reports whether the state of the address changed.
func (s *suspects) set(address string, suspect bool) bool {
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
