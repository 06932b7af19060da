package upstreamstate

import (
	"sort"
	"sync"
	"time"

	"rattantide/internal/membership"
)

// Store holds the state of the upstreams that a daemon knows. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	known map[identity]*record
	// byKey has no entry for a key of two processes.
	byKey map[key]*record
	// ranked is a buffer of encodeUnsent.
	ranked []rankedRecord
}

// rankedRecord is a record with its importance.
type rankedRecord struct {
	*record
	importance float64
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{known: map[identity]*record{}, byKey: map[key]*record{}}
}

// SetUpstreams replaces the set of processes. The state of those that remain is kept.
func (s *Store) SetUpstreams(processes []Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, byKey := make(map[identity]*record, len(processes)), make(map[key]*record, len(processes))
	for _, p := range processes {
		r := s.known[p.identity()]
		if r == nil || r.process.Version != p.Version {
			r = &record{key: p.key()}
		}
		r.process = p
		known[p.identity()] = r
		if _, isDuplicate := byKey[r.key]; isDuplicate {
			byKey[r.key] = nil
			continue
		}
		byKey[r.key] = r
	}
	for k, r := range byKey {
		if r == nil {
			delete(byKey, k)
		}
	}
	s.known, s.byKey = known, byKey
}

// Observe stores the report in an answer to this daemon.
func (s *Store) Observe(p Process, load membership.Load, now time.Time) {
	if load.Pace <= 0 || load.Slots <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.known[p.identity()]; r != nil && r.setReport(load, now) {
		r.ownAt = now
	}
}

// ObserveSlowness stores how long an answer to this daemon took relative to what is usual in
// the pool at the reported load and pace.
func (s *Store) ObserveSlowness(p Process, ratio float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.known[p.identity()]; r != nil && ratio > 0 {
		r.addSlowness(ratio, now)
		r.sampleSum += min(max(ratio, minSlowness), maxSlowness)
		r.samples++
	}
}

// Merge stores the entries of a message of another daemon that are newer than what is known,
// and appends them to updates. It returns the number of invalid entries; an error means that
// the message is not one of this package.
func (s *Store) Merge(payload []byte, now time.Time, updates []Update) ([]Update, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	invalid, err := decodeMessage(payload, func(kind messageKind, e *entry) {
		r := s.byKey[e.key]
		if r == nil {
			return
		}
		if ratio := e.slowness.ratio(); ratio > 0 && kind == kindObservations {
			r.addSlowness(ratio, now)
		} else if ratio > 0 {
			r.slowness, r.slownessAt = min(max(ratio, minSlowness), maxSlowness), now
		}
		load := membership.Load{Running: e.running, Waiting: e.waiting, Slots: e.slots, Pace: e.pace.ratio()}
		if r.setReport(load, now.Add(-e.age)) && r.load.Slots > 0 {
			updates = append(updates, r.update(now))
		}
	})
	return updates, invalid, err
}

// Updates appends the state of all processes with their ages, for a receiver whose
// clock does not count suspensions.
func (s *Store) Updates(now time.Time, updates []Update) []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.known {
		if r.load.Pace > 0 && r.load.Slots > 0 {
			updates = append(updates, r.update(now))
		}
	}
	return updates
}

// encodeUnsent returns a message with the records that are new to an audience, the most
// important ones first, in at most budget bytes; nil if nothing is new.
func (s *Store) encodeUnsent(to audience, budget int, now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranked = s.ranked[:0]
	for _, r := range s.byKey {
		if r.isUnsent(to, now) {
			s.ranked = append(s.ranked, rankedRecord{r, r.importance(to)})
		}
	}
	if len(s.ranked) == 0 {
		return nil
	}
	// Records of the same importance are in the order of their keys, so that the result does
	// not depend on the order of the map.
	sort.Slice(s.ranked, func(i, j int) bool {
		a, b := &s.ranked[i], &s.ranked[j]
		return a.importance > b.importance || a.importance == b.importance && a.key < b.key
	})
	kind := kindMerged
	if to == toCollectors {
		kind = kindObservations
	}
	payload := make([]byte, 1, budget)
	payload[0] = byte(kind)
	for _, r := range s.ranked {
		if len(payload)+maxEntryBytes > budget {
			break
		}
		payload = r.encode(payload, to, now)
	}
	return payload
}
