package objecttest

import (
	"maps"

	"rattantide/internal/objectclient"
)

// Backup is a copy of the objects of a Store.
type Backup struct {
	revision objectclient.Revision
	objects  map[objectKey]objectclient.Object
}

// Backup returns a copy of the present objects.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{revision: s.revision, objects: maps.Clone(s.objects)}
}

// Restore replaces the objects by those of a backup: all later writes are lost, and their
// numbers are given out again in a new era.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.eras.Observe(era)
	s.revision, s.objects = inEra(era, b.revision), map[objectKey]objectclient.Object{}
	for key, o := range b.objects {
		o.Version = inEra(era, o.Version)
		s.objects[key] = o
	}
	s.restored = Backup{revision: s.revision, objects: maps.Clone(s.objects)}
	s.events, s.compacted = nil, s.revision
	s.notifyWatches()
}

// inEra returns the revision of the same number in an era.
func inEra(era int64, r objectclient.Revision) objectclient.Revision {
	revision, err := objectclient.NewRevision(era, r.Number())
	if err != nil {
		panic(err)
	}
	return revision
}
