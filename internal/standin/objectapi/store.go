package objectapi

import (
	"encoding/json"
	"sort"
	"sync"

	"rattantide/internal/objectclient"
)

// maxHistory bounds the events kept for watches; older ones are compacted.
const maxHistory = 20_000

// maxPast bounds the past values kept of one object for stale reads.
const maxPast = 64

const anyVersion = objectclient.AnyVersion

type objectKey struct{ kind, name string }

// past is a value of an object from a revision on; nil after a deletion.
type past struct {
	revision int64
	value    json.RawMessage
}

// store is the state of the API. All methods are safe for concurrent use.
type store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	objects   map[objectKey][]past
	history   []objectclient.Event
	changed   chan struct{}
}

func newStore() *store {
	return &store{objects: map[objectKey][]past{}, changed: make(chan struct{})}
}

// at returns the object as of a revision, or nil.
func (s *store) at(key objectKey, revision int64) *objectclient.Object {
	values := s.objects[key]
	for i := len(values) - 1; i >= 0; i-- {
		if values[i].revision > revision {
			continue
		}
		if values[i].value == nil {
			return nil
		}
		return &objectclient.Object{Kind: key.kind, Name: key.name, Version: values[i].revision, Value: values[i].value}
	}
	return nil
}

// get returns the object as of behind revisions ago, or nil.
func (s *store) get(key objectKey, behind int64) *objectclient.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(key, s.revision-behind)
}

// list returns the objects of a kind as of behind revisions ago, by name.
func (s *store) list(kind string, behind int64) objectclient.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := objectclient.ObjectList{Revision: max(s.revision-behind, 0), Items: []objectclient.Object{}}
	for key := range s.objects {
		if key.kind != kind {
			continue
		}
		if o := s.at(key, out.Revision); o != nil {
			out.Items = append(out.Items, *o)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Name < out.Items[j].Name })
	return out
}

// write puts a value, or deletes the object when value is nil. It returns the
// object after the write and true, or the current object and false when its
// version is not the one expected. A deleted object has no value.
func (s *store) write(key objectKey, expected int64, value json.RawMessage) (*objectclient.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.at(key, s.revision)
	version := int64(0)
	if current != nil {
		version = current.Version
	}
	if expected != anyVersion && expected != version || value == nil && current == nil {
		return current, false
	}
	s.revision++
	values := append(s.objects[key], past{revision: s.revision, value: value})
	if len(values) > maxPast {
		values = append([]past(nil), values[len(values)-maxPast:]...)
	}
	s.objects[key] = values
	object := &objectclient.Object{Kind: key.kind, Name: key.name, Version: s.revision, Value: value}
	kind := objectclient.EventPut
	if value == nil {
		kind = objectclient.EventDelete
	}
	s.history = append(s.history, objectclient.Event{Revision: s.revision, Type: kind, Object: object})
	if len(s.history) > maxHistory {
		s.compactTo(s.history[maxHistory/4].Revision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object, true
}

// compact forgets the events up to a revision; 0 means all.
func (s *store) compact(revision int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= 0 || revision > s.revision {
		revision = s.revision
	}
	s.compactTo(revision)
	return s.compacted
}

func (s *store) compactTo(revision int64) {
	s.compacted = max(s.compacted, revision)
	kept := 0
	for kept < len(s.history) && s.history[kept].Revision <= s.compacted {
		kept++
	}
	s.history = append([]objectclient.Event(nil), s.history[kept:]...)
}

// since returns the events after a revision, the current revision, and a
// channel that is closed at the next change. It fails when the revision is
// compacted, or is of another store and lies ahead.
func (s *store) since(revision int64) ([]objectclient.Event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compacted || revision > s.revision {
		return nil, s.revision, nil, false
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > revision })
	return append([]objectclient.Event(nil), s.history[first:]...), s.revision, s.changed, true
}
