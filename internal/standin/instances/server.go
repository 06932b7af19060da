package instances

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"rattantide/internal/standin/control"
)

// maxSnapshots is the maximum number of past lists that are retained for serving
// the list with a lag.
const maxSnapshots = 4096

type snapshot struct {
	at   time.Time
	list List
}

// Server simulates the instance list. It is an http.Handler and safe for concurrent
// use.
type Server struct {
	faults *control.Faults[Faults]
	mux    *http.ServeMux

	mu        sync.Mutex
	instances map[string]Instance
	snapshots []snapshot
	frozen    *List
}

// New returns a Server with an empty list.
func New() *Server {
	s := &Server{instances: map[string]Instance{}, mux: http.NewServeMux()}
	s.snapshots = []snapshot{{list: List{Instances: []Instance{}}}}
	s.faults = control.NewFaults(s.faultsChanged)
	s.mux.HandleFunc("GET /v1/instances", s.serveList)
	s.mux.HandleFunc("POST /control/instances", s.serveSet)
	s.mux.HandleFunc("DELETE /control/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.Handle("/control/faults", s.faults)
	return s
}

// ServeHTTP serves the list and its control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the injected faults, which can be changed at any time.
func (s *Server) Faults() *control.Faults[Faults] { return s.faults }

// Set adds or replaces an instance. An empty state means live.
func (s *Server) Set(i Instance) {
	if i.State == "" {
		i.State = "live"
	}
	s.update(func() { s.instances[i.Name] = i })
}

// Remove removes an instance from the list.
func (s *Server) Remove(name string) {
	s.update(func() { delete(s.instances, name) })
}

// update applies a change to the instances and records the resulting list.
func (s *Server) update(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	list := List{Revision: s.snapshots[len(s.snapshots)-1].list.Revision + 1, Instances: []Instance{}}
	for _, i := range s.instances {
		list.Instances = append(list.Instances, i)
	}
	sort.Slice(list.Instances, func(a, b int) bool { return list.Instances[a].Name < list.Instances[b].Name })
	if len(s.snapshots) >= maxSnapshots {
		s.snapshots = append(s.snapshots[:0], s.snapshots[maxSnapshots/4:]...)
	}
	s.snapshots = append(s.snapshots, snapshot{at: time.Now(), list: list})
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&i); err != nil || i.Name == "" {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "not an instance with a name")
		return
	}
	s.Set(i)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.Get()
	if faults.Outage {
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the instance list is down")
		return
	}
	s.mu.Lock()
	list := s.visibleList(faults, time.Now())
	if s.frozen != nil {
		list = *s.frozen
	}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, list)
}

// visibleList returns the newest list that is at least as old as the lag. The caller
// holds s.mu.
func (s *Server) visibleList(faults Faults, now time.Time) List {
	limit := now.Add(-time.Duration(faults.LagMs) * time.Millisecond)
	for i := len(s.snapshots) - 1; i > 0; i-- {
		if !s.snapshots[i].at.After(limit) {
			return s.snapshots[i].list
		}
	}
	return s.snapshots[0].list
}

func (s *Server) faultsChanged(before, after Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Frozen && !before.Frozen {
		list := s.visibleList(before, time.Now())
		s.frozen = &list
	}
	if !after.Frozen {
		s.frozen = nil
	}
}
