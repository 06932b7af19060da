package objecttest

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// maxValueBytes is the maximum size of a value in the object API.
const maxValueBytes = 1 << 20

type objectKey struct{ kind, name string }

// Store is an in-memory objectclient.Store. It retains every event, so it is only
// suitable for short tests. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	revision       objectclient.Revision
	compacted      objectclient.Revision
	objects        map[objectKey]objectclient.Object
	events         []objectclient.Event
	changed        chan struct{}
	faults         faults
	deferredWrites []func() bool
	calls          Calls
	clock          func() time.Time
	eras           objectclient.Eras
	// restored is the state at the beginning of the present era.
	restored Backup
}

var _ objectclient.Store = (*Store)(nil)

// New returns an empty Store without faults.
func New() *Store {
	return &Store{
		objects: map[objectKey]objectclient.Object{},
		changed: make(chan struct{}),
		clock:   time.Now,
	}
}

// Calls returns the counts of the calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the store-wide revision of the last write.
func (s *Store) Revision() objectclient.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Eras implements objectclient.Store.
func (s *Store) Eras() *objectclient.Eras { return &s.eras }

// Now returns the store's time. The result is always valid, so the second value is
// true.
func (s *Store) Now() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock(), true
}

// Get implements objectclient.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (*objectclient.Object, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Gets++ }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	o, ok := s.visibleObjects()[objectKey{kind, name}]
	if !ok {
		return nil, errors.Annotatef(objectclient.ErrNotFound, "%s/%s", kind, name)
	}
	return clone(o), nil
}

// List implements objectclient.Store.
func (s *Store) List(ctx context.Context, kind string) (*objectclient.ObjectList, error) {
	if err := s.beginCall(ctx, func(c *Calls) { c.Lists++ }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	list := &objectclient.ObjectList{Revision: s.visibleRevision()}
	for key, o := range s.visibleObjects() {
		if key.kind == kind {
			list.Items = append(list.Items, *clone(o))
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	return list, nil
}

// Put implements objectclient.Store.
func (s *Store) Put(ctx context.Context, kind, name string, version objectclient.Revision, value json.RawMessage) (*objectclient.Object, error) {
	if len(value) > maxValueBytes {
		return nil, errors.Annotatef(objectclient.ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	if err := s.beginCall(ctx, func(c *Calls) { c.Puts++; c.PutBytes += int64(len(value)) }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	value = bytes.Clone(value)
	key := objectKey{kind, name}
	write := func() (*objectclient.Object, error) {
		current, exists := s.objects[key]
		if version != objectclient.AnyVersion && current.Version != version {
			err := errors.Annotatef(objectclient.ErrConflict, "%s/%s: expected version %d, stored version %d", kind, name, version, current.Version)
			if !exists {
				return nil, err
			}
			return clone(current), err
		}
		o := objectclient.Object{Kind: kind, Name: name, Version: s.revision + 1, Value: value}
		s.objects[key] = o
		s.recordEvent(objectclient.EventPut, o)
		return clone(o), nil
	}
	if s.deferWrite(func() bool { _, err := write(); return err == nil }) {
		return nil, errors.Annotate(objectclient.ErrUnavailable, "write deferred")
	}
	o, err := write()
	if s.takeLostAnswer() {
		return nil, errors.Annotate(objectclient.ErrUnavailable, "answer lost")
	}
	return o, err
}

// Delete implements objectclient.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version objectclient.Revision) error {
	if err := s.beginCall(ctx, func(c *Calls) { c.Deletes++ }); err != nil {
		return err
	}
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	remove := func() error {
		current, exists := s.objects[key]
		if !exists {
			return errors.Annotatef(objectclient.ErrNotFound, "%s/%s", kind, name)
		}
		if version != objectclient.AnyVersion && current.Version != version {
			return errors.Annotatef(objectclient.ErrConflict, "%s/%s: expected version %d, stored version %d", kind, name, version, current.Version)
		}
		delete(s.objects, key)
		s.recordEvent(objectclient.EventDelete, objectclient.Object{Kind: kind, Name: name, Version: s.revision + 1})
		return nil
	}
	if s.deferWrite(func() bool { return remove() == nil }) {
		return errors.Annotate(objectclient.ErrUnavailable, "write deferred")
	}
	err := remove()
	if s.takeLostAnswer() {
		return errors.Annotate(objectclient.ErrUnavailable, "answer lost")
	}
	return err
}

// Watch implements objectclient.Store. It sends a bookmark after each batch of
// events instead of every second.
func (s *Store) Watch(ctx context.Context, since objectclient.Revision, kinds []string, fn func(objectclient.Event) error) error {
	if err := s.beginCall(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return err
	}
	s.mu.Unlock()
	wanted := map[string]bool{}
	for _, kind := range kinds {
		wanted[kind] = true
	}
	for {
		events, revision, changed, err := s.eventsSince(since, wanted)
		if err != nil {
			return err
		}
		for _, event := range events {
			if err := fn(event); err != nil {
				return err
			}
		}
		if err := fn(objectclient.Event{Revision: revision, Type: objectclient.EventBookmark}); err != nil {
			return err
		}
		since = revision
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// eventsSince returns the events of the wanted kinds after a revision, the current
// revision, and a channel that is closed at the next change. If wanted is empty, it
// returns the events of all kinds.
func (s *Store) eventsSince(since objectclient.Revision, wanted map[string]bool) ([]objectclient.Event, objectclient.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage {
		return nil, 0, nil, errors.Annotate(objectclient.ErrUnavailable, "outage")
	}
	if err := s.eras.CheckWatch(since); err != nil {
		return nil, 0, nil, err
	}
	if since < s.compacted {
		return nil, 0, nil, errors.Annotatef(objectclient.ErrCompacted, "since %d", since)
	}
	var events []objectclient.Event
	from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > since })
	for _, event := range s.events[from:] {
		if len(wanted) == 0 || wanted[event.Object.Kind] {
			events = append(events, objectclient.Event{Revision: event.Revision, Type: event.Type, Object: clone(*event.Object)})
		}
	}
	return events, s.revision, s.changed, nil
}

// beginCall counts a call and waits for the configured latency. Unless it returns an
// error, it returns with s.mu locked.
func (s *Store) beginCall(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	latency := s.faults.latency
	if latency > 0 {
		s.mu.Unlock()
		timer := time.NewTimer(latency)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return errors.Annotate(objectclient.ErrUnavailable, ctx.Err().Error())
		case <-timer.C:
		}
		s.mu.Lock()
	}
	if s.faults.outage {
		s.mu.Unlock()
		return errors.Annotate(objectclient.ErrUnavailable, "outage")
	}
	return nil
}

// visibleRevision returns the revision as of which reads are. The caller holds s.mu.
func (s *Store) visibleRevision() objectclient.Revision {
	return max(s.restored.revision, s.revision-objectclient.Revision(s.faults.staleRevisions))
}

// visibleObjects returns the objects that a read returns, as of staleRevisions
// revisions ago. The caller holds s.mu.
func (s *Store) visibleObjects() map[objectKey]objectclient.Object {
	if s.faults.staleRevisions <= 0 {
		return s.objects
	}
	past := maps.Clone(s.restored.objects)
	if past == nil {
		past = map[objectKey]objectclient.Object{}
	}
	for _, event := range s.events {
		if event.Revision > s.visibleRevision() {
			break
		}
		key := objectKey{event.Object.Kind, event.Object.Name}
		if event.Type == objectclient.EventDelete {
			delete(past, key)
		} else {
			past[key] = *event.Object
		}
	}
	return past
}

// recordEvent appends an event and makes the version of o the current revision. The
// caller holds s.mu.
func (s *Store) recordEvent(kind objectclient.EventType, o objectclient.Object) {
	s.revision = o.Version
	s.events = append(s.events, objectclient.Event{Revision: o.Version, Type: kind, Object: &o})
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// deferWrite reports whether the write is deferred, and if so stores it for
// ApplyDeferredWrites. The caller holds s.mu.
func (s *Store) deferWrite(write func() bool) bool {
	if s.faults.deferWrites == 0 {
		return false
	}
	s.faults.deferWrites--
	s.deferredWrites = append(s.deferredWrites, write)
	return true
}

// takeLostAnswer reports whether the current write loses its response, and
// decrements the count. The caller holds s.mu.
func (s *Store) takeLostAnswer() bool {
	if s.faults.loseAnswers == 0 {
		return false
	}
	s.faults.loseAnswers--
	return true
}

func clone(o objectclient.Object) *objectclient.Object {
	o.Value = bytes.Clone(o.Value)
	return &o
}
