package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/framing"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// writeAnswer writes the record's events after the given one to the caller, or, if
// stream is false, the whole answer once it is complete. The record must have been
// attached for this caller.
func (s *Server) writeAnswer(out *callerStream, r *http.Request, rec *journal.Record, stream bool, after int64) {
	out.w.Header().Set("X-Request-Id", rec.ID)
	if stream {
		s.writeStream(out, r, rec, after)
		return
	}
	s.writeWholeAnswer(out.w, r, rec)
}

func (s *Server) writeStream(out *callerStream, r *http.Request, rec *journal.Record, after int64) {
	reader := rec.NewReader(after)
	defer reader.Close()
	for {
		frames, err := reader.Next(r.Context())
		if err == nil && !s.canSend(r.Context(), rec) {
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
			s.endMovedStream(out, rec)
			return
		default:
			return
		}
	}
}

// endMovedStream ends the stream of a record that moved to another daemon, and
// names that daemon in a comment if it is known. Event stream parsers ignore
// comments; the missing [DONE] shows the caller that the answer is incomplete.
func (s *Server) endMovedStream(out *callerStream, rec *journal.Record) {
	if successor := rec.Status().Successor; successor != "" {
		_ = out.send([]byte(": successor " + successor + "\n\n"))
		return
	}
	panic(http.ErrAbortHandler)
}

// endStream ends the stream of a finished record, with [DONE] if it succeeded and
// with its problem otherwise.
func (s *Server) endStream(out *callerStream, rec *journal.Record) {
	status := rec.Status()
	if status.Outcome == journal.OutcomeDone {
		if out.send([]byte("data: [DONE]\n\n")) == nil {
			s.markDelivered(rec)
		}
		return
	}
	defer s.markDelivered(rec)
	if !out.headerSent {
		problem.Write(out.w, status.Problem)
		return
	}
	// In the chat-completions format, a failure after the start of the stream is
	// an event with the field error.
	data, _ := json.Marshal(map[string]*problem.Problem{"error": status.Problem})
	_ = out.send(append(append([]byte("data: "), data...), "\n\n"...))
}

func (s *Server) writeWholeAnswer(w http.ResponseWriter, r *http.Request, rec *journal.Record) {
	select {
	case <-rec.Done():
	case <-r.Context().Done():
		return
	}
	canSend := s.canSend(r.Context(), rec)
	status := rec.Status()
	switch {
	case status.Successor != "":
		http.Redirect(w, r, s.daemonURL(r, status.Successor)+"/v1/requests/"+rec.ID, http.StatusSeeOther)
	case status.Moved || !canSend:
		problem.Write(w, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeLeaving,
			"another daemon holds the request; ask there").WithRequestID(rec.ID).WithRetryAfter(transientRetryAfter))
	case status.Outcome != journal.OutcomeDone:
		problem.Write(w, status.Problem)
		s.markDelivered(rec)
	default:
		body, err := assemble(rec.Events())
		if err != nil {
			problem.Write(w, problem.NewExecutionUnknown(http.StatusBadGateway, problem.CodeUpstreamFailed,
				"the engine's events do not form an answer").WithRequestID(rec.ID))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		framing.SetLength(w.Header(), len(body))
		if _, err := w.Write(body); err == nil {
			s.markDelivered(rec)
		}
	}
}

// markDelivered records that a caller has received the end of the answer.
func (s *Server) markDelivered(rec *journal.Record) {
	rec.MarkDelivered()
	if s.options.Handoff != nil {
		s.options.Handoff.OnFinished(rec)
	}
}

// daemonURL returns the URL of another daemon. The daemons of one system either all
// serve with TLS or all without it, so r decides the scheme.
func (s *Server) daemonURL(r *http.Request, address string) string {
	if r.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (s *Server) canSend(ctx context.Context, rec *journal.Record) bool {
	return s.options.Handoff == nil || s.options.Handoff.CanSend(ctx, rec)
}

// detach records that a caller disconnected. A request without callers continues
// for Options.AbandonGrace, so that the caller can resume it.
func (s *Server) detach(rec *journal.Record) {
	if rec.Detach() {
		s.scheduleAbandon(rec)
	}
}

func (s *Server) scheduleAbandon(rec *journal.Record) {
	select {
	case <-rec.Done():
		return
	default:
	}
	time.AfterFunc(s.options.AbandonGrace, func() {
		if !rec.IsAbandonedFor(s.options.AbandonGrace) {
			return
		}
		if s.options.Handoff != nil && !s.options.Handoff.Verify(context.Background(), rec) {
			// Another daemon may have resumed the generation. A cancellation
			// at the engine would end it there too.
			s.cancelRequest(rec, errHolderUnverified)
			return
		}
		s.cancelRequest(rec, errAbandoned)
	})
}
