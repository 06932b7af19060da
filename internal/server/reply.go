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
func (s *Server) reply(out *callerStream, r *http.Request, rec *journal.Record, stream bool, after int64) {
	out.w.Header().Set("X-Request-Id", rec.ID)
	if stream {
		s.replyStream(out, r, rec, after)
		return
	}
	s.replyWhole(out.w, r, rec)
}

func (s *Server) replyStream(out *callerStream, r *http.Request, rec *journal.Record, after int64) {
	reader := rec.Read(after)
	defer reader.Close()
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
			s.endMoved(out, rec)
			return
		default:
			return
		}
	}
}

// endMoved ends the stream of a record that another daemon holds. The comment
// is ignored by parsers that do not know it; without [DONE] the caller sees
// that the answer is not complete.
func (s *Server) endMoved(out *callerStream, rec *journal.Record) {
	if successor := rec.Status().Successor; successor != "" {
		_ = out.send([]byte(": successor " + successor + "\n\n"))
		return
	}
	panic(http.ErrAbortHandler)
}

// endStream ends a finished stream: with [DONE], or with the problem.
func (s *Server) endStream(out *callerStream, rec *journal.Record) {
	status := rec.Status()
	if status.Outcome == journal.OutcomeDone {
		if out.send([]byte("data: [DONE]\n\n")) == nil {
			s.delivered(rec)
		}
		return
	}
	defer s.delivered(rec)
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
	may := s.maySend(r.Context(), rec)
	status := rec.Status()
	switch {
	case status.Successor != "":
		http.Redirect(w, r, s.baseURL(r, status.Successor)+"/v1/requests/"+rec.ID, http.StatusSeeOther)
	case status.Moved || !may:
		problem.Write(w, problem.Unknown(http.StatusServiceUnavailable, problem.CodeLeaving,
			"another daemon holds the request; ask there").WithRequestID(rec.ID).WithRetryAfter(retryAfterFull))
	case status.Outcome != journal.OutcomeDone:
		problem.Write(w, status.Problem)
		s.delivered(rec)
	default:
		body, err := assemble(rec.Events())
		if err != nil {
			problem.Write(w, problem.Unknown(http.StatusBadGateway, problem.CodeUpstreamFailed,
				"the engine's events do not form an answer").WithRequestID(rec.ID))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(body); err == nil {
			s.delivered(rec)
		}
	}
}

// delivered notes that a caller has got the end of the answer.
func (s *Server) delivered(rec *journal.Record) {
	rec.MarkDelivered()
	if s.options.Handoff != nil {
		s.options.Handoff.Finished(rec)
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
		if !rec.AbandonedFor(s.options.AbandonGrace) {
			return
		}
		if s.options.Handoff != nil && !s.options.Handoff.Verify(context.Background(), rec) {
			// Another daemon may have resumed the generation, which a
			// cancellation at the engine would end.
			s.cancelCall(rec, errIsolated)
			return
		}
		s.cancelCall(rec, errAbandoned)
	})
}
