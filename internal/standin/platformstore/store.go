// Package platformstore is a stand-in for the platform's metadata store: objects
// with revisions, conditional writes, watches, and the ways in which it fails.
package platformstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Meta is the metadata of an object.
type Meta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

// Object is an object as the store answers it.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	object  Object
	deleted bool
}

// Faults are the ways in which a Store fails. The zero value works.
type Faults struct {
	// Status, when not 0, is answered to every call.
	Status int
	// LoseAnswers is how many writes are carried out and not answered.
	LoseAnswers int
	// LateWrites is how many writes get no answer and are carried out by
	// CarryOutLate, if their condition still holds.
	LateWrites int
	// PageSize bounds the objects of a list; 0 means no bound.
	PageSize int
}

// Store implements http.Handler. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	kept     int64
	objects  map[string]map[string]*Object
	events   []event
	changed  chan struct{}
	faults   Faults
	late     []func()
	calls    map[string]int
	mux      *http.ServeMux
}

// New returns an empty Store.
func New() *Store {
	s := &Store{objects: map[string]map[string]*Object{}, changed: make(chan struct{}), calls: map[string]int{}, mux: http.NewServeMux(), revision: 1}
	s.mux.HandleFunc("GET /objects/{kind}", s.list)
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	s.mux.HandleFunc("POST /objects/{kind}", s.write)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.write)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}/status", s.write)
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.Method]++
	status := s.faults.Status
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Fail sets the faults.
func (s *Store) Fail(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls of a method came.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Set writes an object without a condition, as the operator and the runners do.
func (s *Store) Set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, &Object{Spec: text}, false)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.kept = nil, s.revision
	s.wake()
}

// CarryOutLate carries out the writes that got no answer.
func (s *Store) CarryOutLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, f := range late {
		f()
	}
}

// Object returns an object, or nil.
func (s *Store) Object(kind, name string) *Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		copied := *o
		return &copied
	}
	return nil
}

// put stores an object. The lock is held.
func (s *Store) put(kind, name string, o *Object, status bool) *Object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*Object{}
	}
	next := &Object{Metadata: Meta{Name: name, Revision: s.revision, Created: s.revision}, Spec: o.Spec, Status: o.Status}
	if before := s.objects[kind][name]; before != nil {
		next.Metadata.Created = before.Metadata.Created
		if status {
			next.Spec = before.Spec
		} else {
			next.Status = before.Status
		}
	}
	s.objects[kind][name] = next
	s.events = append(s.events, event{kind: kind, object: *next})
	s.wake()
	return next
}

// delete removes an object. The lock is held.
func (s *Store) delete(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, object: gone, deleted: true})
	s.wake()
}

// wake ends the waiting watches. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	after := r.URL.Query().Get("afterRev")
	for name := range s.objects[r.PathValue("kind")] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := s.faults.PageSize > 0 && len(names) > s.faults.PageSize
	if more {
		names = names[:s.faults.PageSize]
	}
	items := []Object{}
	for _, name := range names {
		items = append(items, *s.objects[r.PathValue("kind")][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
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
		if since < s.kept {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []map[string]any{}
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.object.Metadata.Revision > since {
				found = append(found, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	o := s.Object(r.PathValue("kind"), r.PathValue("name"))
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name, create := r.PathValue("kind"), r.PathValue("name"), r.Method == http.MethodPost
	if create {
		name = o.Metadata.Name
	}
	status := r.URL.Path == "/objects/"+kind+"/"+name+"/status"
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := func() (int, *Object) { return s.apply(kind, name, &o, create, status) }
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		s.late = append(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			apply()
		})
		panic(http.ErrAbortHandler)
	}
	code, stored := apply()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	if stored == nil {
		w.WriteHeader(code)
		return
	}
	answer(w, code, stored)
}

// apply carries a write out if its condition holds. The lock is held.
func (s *Store) apply(kind, name string, o *Object, create, status bool) (int, *Object) {
	current := s.objects[kind][name]
	switch {
	case create && current != nil:
		return http.StatusConflict, current
	case !create && current == nil:
		return http.StatusNotFound, nil
	case !create && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	return http.StatusOK, s.put(kind, name, o, status)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	if current == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if text := r.URL.Query().Get("revision"); text != "" && text != strconv.FormatInt(current.Metadata.Revision, 10) {
		answer(w, http.StatusConflict, current)
		return
	}
	s.delete(kind, name)
	answer(w, http.StatusOK, current)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here is the caller's connection.
	_ = json.NewEncoder(w).Encode(body)
}
