// Package platformstore simulates the metadata store of the platform: objects with
// revisions, conditional writes, watches and faults.
package platformstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// eraHeader is the header of all responses with the era.
const eraHeader = "Store-Era"

// Store simulates the metadata store. It is an http.Handler and safe for concurrent
// use.
type Store struct {
	mu sync.Mutex
	// era counts the restores from a backup, from 1 on.
	era        int64
	revision   int64
	compacted  int64
	objects    map[string]map[string]*Object
	events     []event
	changed    chan struct{}
	faults     Faults
	lateWrites []func()
	callCounts map[string]int
	mux        *http.ServeMux
}

// New returns an empty Store.
func New() *Store {
	s := &Store{objects: map[string]map[string]*Object{}, changed: make(chan struct{}), callCounts: map[string]int{}, mux: http.NewServeMux(), revision: 1, era: 1}
	s.mux.HandleFunc("GET /objects/{kind}", s.serveList)
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.serveGet)
	s.mux.HandleFunc("POST /objects/{kind}", s.serveWrite)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.serveWrite)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}/status", s.serveWrite)
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serveDelete)
	return s
}

// ServeHTTP counts the call and serves it, unless Faults.Status is set.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.callCounts[r.Method]++
	status, era := s.faults.Status, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Calls returns the number of received calls with an HTTP method.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[method]
}

// Set writes the spec of an object without a condition, as the operator and the
// runners do. It panics if spec cannot be encoded as JSON.
func (s *Store) Set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, &Object{Spec: text}, false)
}

// Remove deletes an object without a condition, if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind, name)
}

// Compact drops all events, so that watches of earlier revisions fail with status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
	s.notifyWatchesLocked()
}

// Object returns a copy of an object, or nil if it does not exist.
func (s *Store) Object(kind, name string) *Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		objectCopy := *o
		return &objectCopy
	}
	return nil
}

// putLocked stores the status of an object if isStatus is true, or else its spec. It
// keeps the other one if the object exists. The caller holds s.mu.
func (s *Store) putLocked(kind, name string, o *Object, isStatus bool) *Object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*Object{}
	}
	next := &Object{Metadata: Meta{Name: name, Revision: s.revision, Created: s.revision}, Spec: o.Spec, Status: o.Status}
	if before := s.objects[kind][name]; before != nil {
		next.Metadata.Created = before.Metadata.Created
		if isStatus {
			next.Spec = before.Spec
		} else {
			next.Status = before.Status
		}
	}
	s.objects[kind][name] = next
	s.events = append(s.events, event{kind: kind, object: *next})
	s.notifyWatchesLocked()
	return next
}

// deleteLocked removes an object, if it exists. The caller holds s.mu.
func (s *Store) deleteLocked(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	deleted := *o
	deleted.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, object: deleted, deleted: true})
	s.notifyWatchesLocked()
}

// notifyWatchesLocked wakes the waiting watches. The caller holds s.mu.
func (s *Store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	// Despite its name, the parameter holds the name of the last object of the previous
	// page.
	after := r.URL.Query().Get("afterRev")
	for name := range s.objects[r.PathValue("kind")] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hasMore := s.faults.PageSize > 0 && len(names) > s.faults.PageSize
	if hasMore {
		names = names[:s.faults.PageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, *s.objects[r.PathValue("kind")][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
		if since < s.compacted || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.object.Metadata.Revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o := s.Object(r.PathValue("kind"), r.PathValue("name"))
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client's connection failed.
	_ = json.NewEncoder(w).Encode(body)
}
