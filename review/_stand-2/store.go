package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's metadata store as it is sent on the wire.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

type storeEvent struct {
	kind     string
	revision int64
	object   object
	deleted  bool
}

// store is a stand-in of the metadata store that follows PROTOCOL.md. It keeps its whole
// history and never fails by itself.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// set writes an object without a condition and returns its revision: the ack of the write.
func (s *store) set(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, object{Metadata: metadata{Name: name}, Spec: text}, false).Metadata.Revision
}

// put stores an object and keeps the part of it that the call does not replace. s.mu must be
// held.
func (s *store) put(kind string, o object, isStatus bool) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	before, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case !exists:
		o.Metadata.Created = s.revision + 1
	case isStatus:
		o.Spec, o.Metadata.Created = before.Spec, before.Metadata.Created
	default:
		o.Status, o.Metadata.Created = before.Status, before.Metadata.Created
	}
	if exists && bytes.Equal(before.Spec, o.Spec) && bytes.Equal(before.Status, o.Status) {
		return before
	}
	s.revision++
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.addEvent(storeEvent{kind: kind, revision: s.revision, object: o})
	return o
}

// addEvent records an event and wakes the watches. s.mu must be held.
func (s *store) addEvent(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler for /objects/KIND[/NAME[/status]].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || len(parts) > 4 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind := parts[1]
	switch {
	case r.Method == http.MethodGet && len(parts) == 2 && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 2:
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][parts[2]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodDelete && len(parts) == 3:
		s.serveDelete(w, r, kind, parts[2])
	default:
		s.serveWrite(w, r, parts)
	}
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// An absent or invalid wait means that the call returns at once.
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	isCreate, isStatus := r.Method == http.MethodPost, len(parts) == 4
	if !isCreate {
		o.Metadata.Name = parts[2]
	}
	s.mu.Lock()
	current, exists := s.objects[parts[1]][o.Metadata.Name]
	switch {
	case isCreate && exists, !isCreate && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		s.mu.Unlock()
		answer(w, http.StatusConflict, current)
		return
	case !isCreate && !exists:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	stored := s.put(parts[1], o, isStatus)
	s.mu.Unlock()
	answer(w, http.StatusOK, stored)
}

func (s *store) serveDelete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	if want := r.URL.Query().Get("revision"); exists && want != "" && want != strconv.FormatInt(o.Metadata.Revision, 10) {
		s.mu.Unlock()
		answer(w, http.StatusConflict, o)
		return
	}
	if exists {
		s.revision++
		delete(s.objects[kind], name)
		o.Metadata.Revision = s.revision
		s.addEvent(storeEvent{kind: kind, revision: s.revision, object: o, deleted: true})
	}
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller's connection has failed.
	_ = json.NewEncoder(w).Encode(body)
}
