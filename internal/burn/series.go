package burn

import (
	"sync"
	"time"
)

// series contains the bucket rings of one class, one ring per window. It is safe
// for concurrent use.
type series struct {
	metrics metrics

	mu    sync.Mutex
	rings [len(Windows)][]*bucket
}

func (s *series) add(now time.Time, o *Observation, counts Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range Windows {
		s.bucketAt(i, now).add(o, counts)
	}
}

// bucketAt returns the bucket of a window for now. If the slot already contains a
// later bucket, because the clock was set back, that bucket is returned. The
// caller holds mu.
func (s *series) bucketAt(window int, now time.Time) *bucket {
	w := Windows[window]
	if s.rings[window] == nil {
		s.rings[window] = make([]*bucket, w.Buckets)
	}
	index := now.UnixNano() / int64(w.bucketWidth())
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

// sumWindow returns the sum of the buckets of a window that are not older than its
// span at now.
func (s *series) sumWindow(window int, now time.Time) (*bucket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := Windows[window]
	oldest := now.UnixNano()/int64(w.bucketWidth()) - int64(w.Buckets) + 1
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
