package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// reply answers with the record's events, or with the whole answer once it is
// there. The caller must be attached to the record.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, rec *journal.Record, stream bool, after int64) {
	w.Header().Set("X-Request-Id", rec.ID)
	if stream {
		s.replyStream(w, r, rec, after)
		return
	}
	s.replyWhole(w, r, rec)
}

func (s *Server) replyStream(w http.ResponseWriter, r *http.Request, rec *journal.Record, after int64) {
	reader := rec.Read(after)
	defer reader.Close()
	out := &callerStream{w: w, control: http.NewResponseController(w), limit: s.options.CallerWrite}
	for {
		frames, err := reader.Next(r.Context())
		if err == nil && !s.maySend(r.Context(), rec) {
			err = journal.ErrMoved
		}
		switch {
		case err == nil:
			if out.send(frames) != nil {
				return
			}
		case errors.Is(err, io.EOF):
			s.endStream(out, rec)
			return
		case errors.Is(err, journal.ErrMoved):
			_ = out.send([]byte(": successor " + rec.Status().Successor + "\n\n"))
			return
		default:
			return
		}
	}
}

// endStream ends a finished stream: with [DONE], or with the problem.
func (s *Server) endStream(out *callerStream, rec *journal.Record) {
	status := rec.Status()
	if status.Outcome == journal.OutcomeDone {
		_ = out.send([]byte("data: [DONE]\n\n"))
		return
	}
	if !out.begun {
		problem.Write(out.w, status.Problem)
		return
	}
	// The chat-completions format reports a failure within a stream as an event
	// with the field error.
	data, _ := json.Marshal(map[string]*problem.Problem{"error": status.Problem})
	_ = out.send(append(append([]byte("data: "), data...), "\n\n"...))
}

func (s *Server) replyWhole(w http.ResponseWriter, r *http.Request, rec *journal.Record) {
	select {
	case <-rec.Ended():
	case <-r.Context().Done():
		return
	}
	status := rec.Status()
	switch {
	case status.Successor != "" || !s.maySend(r.Context(), rec):
		http.Redirect(w, r, s.baseURL(r, rec.Status().Successor)+"/v1/requests/"+rec.ID, http.StatusSeeOther)
	case status.Outcome != journal.OutcomeDone:
		problem.Write(w, status.Problem)
	default:
		body, err := assemble(rec.Events())
		if err != nil {
			problem.Write(w, problem.Unknown(http.StatusBadGateway, problem.CodeUpstreamFailed,
				"the engine's events do not form an answer").WithRequestID(rec.ID))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

// baseURL is where another daemon is reached. Daemons of one system all serve
// with TLS or all without it.
func (s *Server) baseURL(r *http.Request, address string) string {
	if r.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (s *Server) maySend(ctx context.Context, rec *journal.Record) bool {
	return s.options.Handoff == nil || s.options.Handoff.MaySend(ctx, rec)
}

// detach notes that a caller left. A request without callers goes on for a
// while, so that the caller can come back.
func (s *Server) detach(rec *journal.Record) {
	if rec.Detach() {
		s.abandonLater(rec)
	}
}

func (s *Server) abandonLater(rec *journal.Record) {
	select {
	case <-rec.Ended():
		return
	default:
	}
	time.AfterFunc(s.options.AbandonGrace, func() {
		if rec.AbandonedFor(s.options.AbandonGrace) {
			s.cancelCall(rec, errAbandoned)
		}
	})
}
