package objecttest

import (
	"maps"

	"rattantide/internal/objectclient"
)

// Backup is a copy of the objects of a Store.
type Backup struct {
	revision int64
	objects  map[objectKey]objectclient.Object
}

// Backup returns a copy of the present objects.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{revision: s.revision, objects: maps.Clone(s.objects)}
}

// Restore replaces the objects by those of a backup: all later writes are lost, and their
// revisions are given out again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects = b.revision, maps.Clone(b.objects)
	retained := s.events[:0]
	for _, e := range s.events {
		if e.Revision <= s.revision {
			retained = append(retained, e)
		}
	}
	s.events, s.compacted = retained, min(s.compacted, s.revision)
	s.notifyWatches()
}
