package server

import (
	"context"
	"encoding/json"
	"net/http"

	"rattantide/internal/callerbody"
	"rattantide/internal/entry"
	"rattantide/internal/problem"
)

// BeginDrain makes the server refuse new calls as not run. Each refusal lists the
// entries of other daemons. Open requests continue, and callers can still
// resume them here.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// InFlight returns the number of running requests plus the number of calls being
// served.
func (s *Server) InFlight() int { return s.idle.count() }

// WaitIdle blocks until InFlight is 0. It returns the cause of ctx when that ends
// first.
func (s *Server) WaitIdle(ctx context.Context) error { return s.idle.wait(ctx) }

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.closed
}

// leavingProblem is the problem document of a draining daemon. Its extension
// member lists the entries that the caller should use instead.
type leavingProblem struct {
	*problem.Problem
	Entries []entry.Entry `json:"entries"`
}

// writeLeaving answers a call with the refusal of a draining daemon. workspace is the
// name of the caller's workspace.
func (s *Server) writeLeaving(w http.ResponseWriter, r *http.Request, workspace, id string) {
	callerbody.LeaveUnread(w, r)
	p := problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeLeaving, "this daemon is leaving; use another entry").WithRequestID(id)
	s.metrics.countRefused(p.Code)
	body := leavingProblem{Problem: p, Entries: s.entriesFor(r, workspace).Entries}
	w.Header().Set("Content-Type", problem.ContentType)
	w.Header().Set("Connection", "close")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(body)
}
