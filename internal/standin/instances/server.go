package instances

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"rattantide/internal/standin/control"
)

// maxHistory bounds the past states kept for a lag.
const maxHistory = 4096

type snapshot struct {
	at   time.Time
	list List
}

// Server is the stand-in of the instance list. It is an http.Handler and safe
// for concurrent use.
type Server struct {
	faults *control.Faults[Faults]
	mux    *http.ServeMux

	mu      sync.Mutex
	current map[string]Instance
	history []snapshot
	frozen  *List
}

// New returns a Server with an empty list.
func New() *Server {
	s := &Server{current: map[string]Instance{}, mux: http.NewServeMux()}
	s.history = []snapshot{{list: List{Instances: []Instance{}}}}
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

// Faults returns the switchable faults.
func (s *Server) Faults() *control.Faults[Faults] { return s.faults }

// Set adds or replaces an instance. An empty state means live.
func (s *Server) Set(i Instance) {
	if i.State == "" {
		i.State = "live"
	}
	s.change(func() { s.current[i.Name] = i })
}

// Remove takes an instance from the list.
func (s *Server) Remove(name string) {
	s.change(func() { delete(s.current, name) })
}

func (s *Server) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	list := List{Revision: s.history[len(s.history)-1].list.Revision + 1, Instances: []Instance{}}
	for _, i := range s.current {
		list.Instances = append(list.Instances, i)
	}
	sort.Slice(list.Instances, func(a, b int) bool { return list.Instances[a].Name < list.Instances[b].Name })
	if len(s.history) >= maxHistory {
		s.history = append(s.history[:0], s.history[maxHistory/4:]...)
	}
	s.history = append(s.history, snapshot{at: time.Now(), list: list})
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&i); err != nil || i.Name == "" {
		control.Error(w, http.StatusBadRequest, "bad_request", "not an instance with a name")
		return
	}
	s.Set(i)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.Get()
	if faults.Outage {
		control.Error(w, http.StatusServiceUnavailable, "unavailable", "the instance list is down")
		return
	}
	s.mu.Lock()
	list := s.visible(faults, time.Now())
	if s.frozen != nil {
		list = *s.frozen
	}
	s.mu.Unlock()
	control.JSON(w, http.StatusOK, list)
}

// visible returns the newest list that is at least as old as the lag.
func (s *Server) visible(faults Faults, now time.Time) List {
	limit := now.Add(-time.Duration(faults.LagMs) * time.Millisecond)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(limit) {
			return s.history[i].list
		}
	}
	return s.history[0].list
}

func (s *Server) faultsChanged(before, after Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Frozen && !before.Frozen {
		list := s.visible(before, time.Now())
		s.frozen = &list
	}
	if !after.Frozen {
		s.frozen = nil
	}
}
