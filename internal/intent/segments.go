package intent

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/objectclient"
)

// objectKind is the kind of heads and segments in the object API.
const objectKind = "intentlog"

// maxParallelLoads bounds the segments that are read concurrently.
const maxParallelLoads = 8

// segments indexes the keys in the sealed segments of a shard by their hashes.
// Segments are immutable, so each is read only once. It is safe for concurrent
// use.
type segments struct {
	mu     sync.Mutex
	hashes map[string][]uint64
}

// loadMissing reads the segments of a head that are not indexed yet and removes
// the index of segments that the head does not reference.
func (s *segments) loadMissing(ctx context.Context, l *Log, h *head) error {
	s.mu.Lock()
	var missing []string
	indexed := make(map[string][]uint64, len(h.segments))
	for _, ref := range h.segments {
		if hashes, ok := s.hashes[ref.Name]; ok {
			indexed[ref.Name] = hashes
		} else {
			missing = append(missing, ref.Name)
		}
	}
	s.hashes = indexed
	s.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for _, name := range missing {
		group.Go(func() error {
			entries, err := l.readSegment(ctx, name)
			if err != nil {
				return err
			}
			s.add(name, entries)
			return nil
		})
	}
	return group.Wait()
}

func (s *segments) add(name string, entries []*entry) {
	hashes := make([]uint64, 0, len(entries))
	for _, e := range entries {
		hashes = append(hashes, e.Key.hash())
	}
	slices.Sort(hashes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hashes == nil {
		s.hashes = map[string][]uint64{}
	}
	s.hashes[name] = hashes
}

// candidates returns the names of a head's segments that may contain a key,
// latest first.
func (s *segments) candidates(h *head, key Key) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	hash := key.hash()
	for _, ref := range slices.Backward(h.segments) {
		if _, found := slices.BinarySearch(s.hashes[ref.Name], hash); found {
			names = append(names, ref.Name)
		}
	}
	return names
}

// find returns the sealed entry of a key, or nil.
func (s *segments) find(ctx context.Context, l *Log, h *head, key Key) (*entry, error) {
	for _, name := range s.candidates(h, key) {
		entries, err := l.readSegment(ctx, name)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Key == key {
				return e, nil
			}
		}
	}
	return nil, nil
}

// readSegment returns the entries of a segment. A missing segment is an error:
// the read, or the head that references the segment, is out of date, and the
// keys in the segment must not be treated as new.
func (l *Log) readSegment(ctx context.Context, name string) ([]*entry, error) {
	l.stats.Gets.Add(1)
	o, err := l.options.Store.Get(ctx, objectKind, name)
	if errors.Is(err, objectclient.ErrNotFound) {
		return nil, errors.Annotatef(objectclient.ErrUnavailable, "segment %s is not found", name)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return decodeSegment(o)
}

func decodeSegment(o *objectclient.Object) ([]*entry, error) {
	var value segmentValue
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return nil, errors.Annotatef(err, "%s/%s", o.Kind, o.Name)
	}
	entries := make([]*entry, 0, len(value.Entries))
	for _, raw := range value.Entries {
		e := &entry{encoded: raw}
		if err := json.Unmarshal(raw, e); err != nil {
			return nil, errors.Annotatef(err, "%s/%s", o.Kind, o.Name)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func encodeSegment(entries []*entry) (json.RawMessage, error) {
	value := segmentValue{Entries: make([]json.RawMessage, 0, len(entries))}
	for _, e := range entries {
		value.Entries = append(value.Entries, e.encode())
	}
	return json.Marshal(value)
}
