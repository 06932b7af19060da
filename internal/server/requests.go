package server

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	s.serveRecord(w, r, false, 0)
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		var err error
		if after, err = strconv.ParseInt(last, 10, 64); err != nil || after < 0 {
			s.refuse(w, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "Last-Event-ID must be the number of an event"))
			return
		}
	}
	s.metrics.resumedStreams.Inc(1)
	s.serveRecord(w, r, true, after)
}

// maxHolders bounds how many holders are called one after another when each of
// them fails while it answers.
const maxHolders = 4

// serveRecord answers from the record, which this daemon or another one holds. If
// the holder fails during the answer, the next holder continues the same
// response.
func (s *Server) serveRecord(w http.ResponseWriter, r *http.Request, stream bool, after int64) {
	s.idle.add(1)
	defer s.idle.add(-1)
	id := r.PathValue("id")
	out := s.newCallerStream(w, r)
	for range maxHolders {
		rec, holder, p := s.findRecord(r)
		switch {
		case p != nil && out.headerSent:
			panic(http.ErrAbortHandler)
		case p != nil:
			s.refuse(w, p)
			return
		case rec != nil:
			s.serveLocalRecord(out, r, rec, stream, after)
			return
		}
		done := false
		if stream {
			after, done = s.relayStream(out, r, id, holder, after)
		} else {
			done = s.relayNonStreaming(w, r, id, holder)
		}
		if done || r.Context().Err() != nil {
			return
		}
	}
	if out.headerSent {
		panic(http.ErrAbortHandler)
	}
	s.refuse(w, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeInternal,
		"the request is moving between daemons").WithRequestID(id).WithRetryAfter(transientRetryAfter))
}

func (s *Server) serveLocalRecord(out *callerStream, r *http.Request, rec *journal.Record, stream bool, after int64) {
	rec.Attach()
	defer s.detach(rec)
	s.writeAnswer(out, r, rec, stream, after)
}

// requestStatus is the body of the answer to a status query.
type requestStatus struct {
	ID string `json:"id"`
	journal.Status
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	rec, holder, p := s.findRecord(r)
	if p != nil {
		s.refuse(w, p)
		return
	}
	if holder != "" {
		if !s.relayNonStreaming(w, r, r.PathValue("id"), holder) {
			s.refuse(w, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeInternal,
				"the holder of the request does not answer").WithRequestID(r.PathValue("id")).WithRetryAfter(transientRetryAfter))
		}
		return
	}
	status := rec.Status()
	for i := range status.Attempts {
		status.Attempts[i].Address = ""
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(requestStatus{ID: rec.ID, Status: status})
}

// findRecord returns the record that the path names, or the address of its holder
// if another daemon holds it. A record of another workspace is treated like one
// that does not exist.
func (s *Server) findRecord(r *http.Request) (*journal.Record, string, *problem.Problem) {
	workspace, p := s.authenticate(r)
	if p != nil {
		p.Execution = ""
		return nil, "", p
	}
	id := r.PathValue("id")
	unknown := problem.New(http.StatusNotFound, problem.CodeNotFound, "no request is known under this identifier").WithRequestID(id)
	if !isValidID(id) {
		return nil, "", unknown.WithRequestID("")
	}
	rec := s.options.Journal.Get(id)
	if rec != nil && rec.Workspace == workspace && rec.Status().Moved {
		// Locate follows the record to its new holder.
		rec = nil
	}
	if rec == nil && s.options.Handoff != nil && r.Header.Get(relayedHeader) == "" {
		location, err := s.options.Handoff.Locate(r.Context(), id)
		if err != nil {
			return nil, "", asProblem(err, unknown)
		}
		if location.Holder != "" && location.Workspace != workspace {
			return nil, "", unknown
		}
		if location.Holder != "" {
			return nil, location.Holder, nil
		}
		rec = location.Record
	}
	if rec == nil || rec.Workspace != workspace {
		return nil, "", unknown
	}
	return rec, "", nil
}
