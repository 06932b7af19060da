package burn

import (
	"sync"
	"time"
)

// series holds the rings of one class. It is safe for concurrent use.
type series struct {
	metrics metrics

	mu    sync.Mutex
	rings [len(Windows)][]*bucket
}

func (s *series) add(now time.Time, o *Observation, counts Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range Windows {
		s.current(i, now).add(o, counts)
	}
}

// current returns the bucket of now. A clock that steps back records into the
// newest bucket of its slot.
func (s *series) current(window int, now time.Time) *bucket {
	w := Windows[window]
	if s.rings[window] == nil {
		s.rings[window] = make([]*bucket, w.Buckets)
	}
	index := now.UnixNano() / int64(w.width())
	slot := int(index % int64(w.Buckets))
	b := s.rings[window][slot]
	if b == nil {
		b = &bucket{index: index}
		s.rings[window][slot] = b
	}
	if b.index < index {
		b.reset(index)
	}
	return b
}

// total sums the buckets of a window that are not too old.
func (s *series) total(window int, now time.Time) (*bucket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := Windows[window]
	oldest := now.UnixNano()/int64(w.width()) - int64(w.Buckets) + 1
	sum := &bucket{}
	for _, b := range s.rings[window] {
		if b == nil || b.index < oldest {
			continue
		}
		if err := sum.merge(b); err != nil {
			return nil, err
		}
	}
	return sum, nil
}
