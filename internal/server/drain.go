package server

import (
	"context"
	"encoding/json"
	"net/http"

	"rattantide/internal/entry"
	"rattantide/internal/problem"
)

// BeginDrain stops new work: it is refused as not run, with entries of other
// daemons. Open requests go on and callers can still come back for them.
func (s *Server) BeginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// InFlight returns the number of requests and callers that are being served.
func (s *Server) InFlight() int { return s.idle.count() }

// WaitIdle waits until nothing is in flight.
func (s *Server) WaitIdle(ctx context.Context) error { return s.idle.wait(ctx) }

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.closed
}

// leaving is the problem that a draining daemon answers, with the entries that
// the caller should use from now on as an extension member.
type leaving struct {
	*problem.Problem
	Entries []entry.Entry `json:"entries"`
}

func (s *Server) writeLeaving(w http.ResponseWriter, r *http.Request, workspace, id string) {
	p := problem.NotRun(http.StatusServiceUnavailable, problem.CodeLeaving, "this daemon is leaving; use another entry").WithRequestID(id)
	s.metrics.refused(p.Code)
	body := leaving{Problem: p, Entries: s.entriesFor(r, workspace).Entries}
	w.Header().Set("Content-Type", problem.ContentType)
	w.Header().Set("Connection", "close")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(body)
}
