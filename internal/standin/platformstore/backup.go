package platformstore

import "maps"

// Backup is a copy of the objects of a Store.
type Backup struct {
	revision int64
	objects  map[string]map[string]*Object
}

// Backup returns a copy of the present objects.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{revision: s.revision, objects: cloneObjects(s.objects)}
}

// Restore replaces the objects by those of a backup: all later writes are lost, and their
// revisions are given out again. The era rises by one.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects = b.revision, cloneObjects(b.objects)
	s.era++
	retained := s.events[:0]
	for _, e := range s.events {
		if e.object.Metadata.Revision <= s.revision {
			retained = append(retained, e)
		}
	}
	s.events, s.compacted = retained, min(s.compacted, s.revision)
	s.notifyWatchesLocked()
}

// Revision returns the revision of the last write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// cloneObjects copies the maps; objects are never changed once they are stored.
func cloneObjects(objects map[string]map[string]*Object) map[string]map[string]*Object {
	out := make(map[string]map[string]*Object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}
