package objecttest

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// maxValue is the object API's limit of a value, in bytes.
const maxValue = 1 << 20

type objectKey struct{ kind, name string }

// Store is an in-memory objectclient.Store. It keeps every event, so it suits
// short tests only. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	objects   map[objectKey]objectclient.Object
	events    []objectclient.Event
	changed   chan struct{}
	faults    faults
	held      []func() bool
	calls     Calls
	clock     func() time.Time
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

// Calls returns the calls counted so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the store-wide revision of the last write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Now returns the store's time. It is always known.
func (s *Store) Now() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock(), true
}

// Get implements objectclient.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (*objectclient.Object, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Gets++ }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	o, ok := s.readable()[objectKey{kind, name}]
	if !ok {
		return nil, errors.Annotatef(objectclient.ErrNotFound, "%s/%s", kind, name)
	}
	return clone(o), nil
}

// List implements objectclient.Store.
func (s *Store) List(ctx context.Context, kind string) (*objectclient.ObjectList, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Lists++ }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	list := &objectclient.ObjectList{Revision: max(0, s.revision-s.faults.staleBy)}
	for key, o := range s.readable() {
		if key.kind == kind {
			list.Items = append(list.Items, *clone(o))
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	return list, nil
}

// Put implements objectclient.Store.
func (s *Store) Put(ctx context.Context, kind, name string, version int64, value json.RawMessage) (*objectclient.Object, error) {
	if len(value) > maxValue {
		return nil, errors.Annotatef(objectclient.ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	if err := s.enter(ctx, func(c *Calls) { c.Puts++; c.PutBytes += int64(len(value)) }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	value = bytes.Clone(value)
	key := objectKey{kind, name}
	write := func() (*objectclient.Object, error) {
		held, exists := s.objects[key]
		if version != objectclient.AnyVersion && held.Version != version {
			err := errors.Annotatef(objectclient.ErrConflict, "%s/%s: expected %d, stored %d", kind, name, version, held.Version)
			if !exists {
				return nil, err
			}
			return clone(held), err
		}
		o := objectclient.Object{Kind: kind, Name: name, Version: s.revision + 1, Value: value}
		s.objects[key] = o
		s.record(objectclient.EventPut, o)
		return clone(o), nil
	}
	if s.hold(func() bool { _, err := write(); return err == nil }) {
		return nil, errors.Annotate(objectclient.ErrUnavailable, "write held back")
	}
	o, err := write()
	if s.loseAnswer() {
		return nil, errors.Annotate(objectclient.ErrUnavailable, "answer lost")
	}
	return o, err
}

// Delete implements objectclient.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version int64) error {
	if err := s.enter(ctx, func(c *Calls) { c.Deletes++ }); err != nil {
		return err
	}
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	remove := func() error {
		held, exists := s.objects[key]
		if !exists {
			return errors.Annotatef(objectclient.ErrNotFound, "%s/%s", kind, name)
		}
		if version != objectclient.AnyVersion && held.Version != version {
			return errors.Annotatef(objectclient.ErrConflict, "%s/%s: expected %d, stored %d", kind, name, version, held.Version)
		}
		delete(s.objects, key)
		s.record(objectclient.EventDelete, objectclient.Object{Kind: kind, Name: name, Version: s.revision + 1})
		return nil
	}
	if s.hold(func() bool { return remove() == nil }) {
		return errors.Annotate(objectclient.ErrUnavailable, "write held back")
	}
	err := remove()
	if s.loseAnswer() {
		return errors.Annotate(objectclient.ErrUnavailable, "answer lost")
	}
	return err
}

// Watch implements objectclient.Store. It sends a bookmark whenever it has
// caught up, not every second.
func (s *Store) Watch(ctx context.Context, since int64, kinds []string, fn func(objectclient.Event) error) error {
	if err := s.enter(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return err
	}
	s.mu.Unlock()
	wanted := map[string]bool{}
	for _, kind := range kinds {
		wanted[kind] = true
	}
	for {
		events, revision, changed, err := s.next(since, wanted)
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

func (s *Store) next(since int64, wanted map[string]bool) ([]objectclient.Event, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage {
		return nil, 0, nil, errors.Annotate(objectclient.ErrUnavailable, "outage")
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

// enter counts a call and waits out the latency. It returns with the lock held
// unless it returns an error.
func (s *Store) enter(ctx context.Context, count func(*Calls)) error {
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

// readable returns the objects that a read sees.
func (s *Store) readable() map[objectKey]objectclient.Object {
	if s.faults.staleBy <= 0 {
		return s.objects
	}
	old := map[objectKey]objectclient.Object{}
	for _, event := range s.events {
		if event.Revision > s.revision-s.faults.staleBy {
			break
		}
		key := objectKey{event.Object.Kind, event.Object.Name}
		if event.Type == objectclient.EventDelete {
			delete(old, key)
		} else {
			old[key] = *event.Object
		}
	}
	return old
}

func (s *Store) record(kind objectclient.EventType, o objectclient.Object) {
	s.revision = o.Version
	s.events = append(s.events, objectclient.Event{Revision: o.Version, Type: kind, Object: &o})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) hold(write func() bool) bool {
	if s.faults.holdWrites == 0 {
		return false
	}
	s.faults.holdWrites--
	s.held = append(s.held, write)
	return true
}

func (s *Store) loseAnswer() bool {
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
