package objectapi

import (
	"encoding/json"
	"sort"
	"sync"

	"rattantide/internal/objectclient"
)

// maxWatchEvents is the maximum number of events that are retained for watches;
// older ones are compacted.
const maxWatchEvents = 20_000

// maxRevisionsPerObject is the maximum number of values of one object that are
// retained for stale reads.
const maxRevisionsPerObject = 64

const anyVersion = int64(objectclient.AnyVersion)

type objectKey struct{ kind, name string }

// revisionValue is the value of an object from a revision on. The value is nil
// after a deletion.
type revisionValue struct {
	revision int64
	value    json.RawMessage
}

// store is the state of the API. Its methods are safe for concurrent use, except for
// those that require the caller to hold s.mu.
type store struct {
	mu        sync.Mutex
	era       int64
	revision  int64
	compacted int64
	revisions map[objectKey][]revisionValue
	events    []objectclient.Event
	changed   chan struct{}
}

func newStore() *store {
	return &store{revisions: map[objectKey][]revisionValue{}, changed: make(chan struct{})}
}

// objectAt returns the object as of a revision, or nil if it did not exist. The
// caller holds s.mu.
func (s *store) objectAt(key objectKey, revision int64) *objectclient.Object {
	values := s.revisions[key]
	for i := len(values) - 1; i >= 0; i-- {
		if values[i].revision > revision {
			continue
		}
		if values[i].value == nil {
			return nil
		}
		return &objectclient.Object{Kind: key.kind, Name: key.name, Version: objectclient.Revision(values[i].revision), Value: values[i].value}
	}
	return nil
}

// get returns the object as it was behind revisions ago, or nil if it did not
// exist.
func (s *store) get(key objectKey, behind int64) *objectclient.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objectAt(key, s.revision-behind)
}

// list returns the objects of a kind as they were behind revisions ago, sorted by
// name.
func (s *store) list(kind string, behind int64) objectclient.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := max(s.revision-behind, 0)
	out := objectclient.ObjectList{Revision: objectclient.Revision(at), Items: []objectclient.Object{}}
	for key := range s.revisions {
		if key.kind != kind {
			continue
		}
		if o := s.objectAt(key, at); o != nil {
			out.Items = append(out.Items, *o)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Name < out.Items[j].Name })
	return out
}

// write stores a value, or deletes the object if value is nil. It returns the
// written object and true, or the current object and false if its version is not
// the expected one or there is nothing to delete. A deleted object has no value.
func (s *store) write(key objectKey, expected int64, value json.RawMessage) (*objectclient.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objectAt(key, s.revision)
	version := int64(0)
	if current != nil {
		version = int64(current.Version)
	}
	if expected != anyVersion && expected != version || value == nil && current == nil {
		return current, false
	}
	s.revision++
	values := append(s.revisions[key], revisionValue{revision: s.revision, value: value})
	if len(values) > maxRevisionsPerObject {
		values = append([]revisionValue(nil), values[len(values)-maxRevisionsPerObject:]...)
	}
	s.revisions[key] = values
	object := &objectclient.Object{Kind: key.kind, Name: key.name, Version: objectclient.Revision(s.revision), Value: value}
	kind := objectclient.EventPut
	if value == nil {
		kind = objectclient.EventDelete
	}
	s.events = append(s.events, objectclient.Event{Revision: objectclient.Revision(s.revision), Type: kind, Object: object})
	if len(s.events) > maxWatchEvents {
		s.compactTo(int64(s.events[maxWatchEvents/4].Revision))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object, true
}

// compact drops the events up to and including a revision, or all events if the
// revision is 0, and returns the revision up to which events have been dropped.
func (s *store) compact(revision int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= 0 || revision > s.revision {
		revision = s.revision
	}
	s.compactTo(revision)
	return s.compacted
}

// compactTo drops the events up to and including a revision. The caller holds s.mu.
func (s *store) compactTo(revision int64) {
	s.compacted = max(s.compacted, revision)
	first := 0
	for first < len(s.events) && int64(s.events[first].Revision) <= s.compacted {
		first++
	}
	s.events = append([]objectclient.Event(nil), s.events[first:]...)
}

// eventsSince returns the events after a revision, the current revision, and a
// channel that is closed at the next change. It returns false if events after the
// revision have been compacted, if the era has ended, or if the revision is above the
// current one and therefore comes from an earlier era.
func (s *store) eventsSince(era, revision int64) ([]objectclient.Event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era || revision < s.compacted || revision > s.revision {
		return nil, s.revision, nil, false
	}
	first := sort.Search(len(s.events), func(i int) bool { return int64(s.events[i].Revision) > revision })
	return append([]objectclient.Event(nil), s.events[first:]...), s.revision, s.changed, true
}
