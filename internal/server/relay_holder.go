package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

const (
	// relayedHeader marks a call that another daemon passes on, so that two
	// daemons with different views do not send it back and forth.
	relayedHeader = "X-Rattantide-Relayed"
	// relayProbe is how long a holder may stay silent before it is asked
	// whether it still holds the request.
	relayProbe = 3 * time.Second
	// maxRelayed bounds a whole answer that is passed on, in bytes.
	maxRelayed = 64 << 20
)

// callHolder passes the caller's query on to the holder of the record, which
// checks the caller's token itself. The response ends with its body's Close, or
// when the record moves or its holder no longer answers.
func (s *Server) callHolder(r *http.Request, id, holder string, after int64) (*http.Response, *time.Timer, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL(r, holder)+r.URL.EscapedPath(), nil)
	if err != nil {
		cancel(nil)
		return nil, nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", r.Header.Get("Authorization"))
	request.Header.Set(relayedHeader, "1")
	if after > 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatInt(after, 10))
	}
	var probe *time.Timer
	ready := make(chan struct{})
	probe = time.AfterFunc(relayProbe, func() {
		<-ready
		// A holder that lives may wait for its engine for long.
		found, err := s.options.Handoff.Locate(ctx, id)
		if err != nil || found.Holder != holder {
			cancel(errSilent)
			return
		}
		probe.Reset(relayProbe)
	})
	close(ready)
	response, err := s.repeated.Do(request)
	if err != nil {
		probe.Stop()
		cancel(nil)
		return nil, nil, errors.Trace(err)
	}
	response.Body = &relayedBody{ReadCloser: response.Body, cancel: func() {
		probe.Stop()
		cancel(nil)
	}}
	return response, probe, nil
}

// relayedBody ends its call when it is closed.
type relayedBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// relayWhole passes a whole answer or a status on. It reports false when the
// holder was lost before it answered; nothing was written then.
func (s *Server) relayWhole(w http.ResponseWriter, r *http.Request, id, holder string) bool {
	response, _, err := s.callHolder(r, id, holder, 0)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRelayed))
	if err != nil || response.StatusCode == http.StatusSeeOther || leavingHolder(response.StatusCode, body) {
		return false
	}
	copyAnswer(w, response)
	_, _ = w.Write(body)
	return true
}

// relayStream passes a stream on and returns the number of the last event that
// was passed on. done is false when the holder was lost, or named a successor,
// before the end.
func (s *Server) relayStream(out *callerStream, r *http.Request, id, holder string, after int64) (last int64, done bool) {
	response, probe, err := s.callHolder(r, id, holder, after)
	if err != nil {
		return after, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxRelayed))
		if err != nil || out.begun || leavingHolder(response.StatusCode, body) {
			return after, false
		}
		copyAnswer(out.w, response)
		_, _ = out.w.Write(body)
		return after, true
	}
	out.w.Header().Set("X-Request-Id", id)
	events := relay.NewReader(response.Body, s.options.MaxEventBytes+64)
	var frame []byte
	for {
		event, err := events.Next()
		if err != nil {
			return after, r.Context().Err() != nil
		}
		probe.Reset(relayProbe)
		end := event.ID == 0
		if !end && event.ID <= after {
			continue
		}
		frame = appendEvent(frame[:0], event)
		if out.send(frame) != nil {
			return after, true
		}
		if end {
			// [DONE] and a failure have no number.
			return after, true
		}
		after = event.ID
	}
}

// leavingHolder reports whether an answer says that the holder has let go of
// the record.
func leavingHolder(status int, body []byte) bool {
	return status == http.StatusServiceUnavailable && bytes.Contains(body, []byte(`"`+string(problem.CodeLeaving)+`"`)) ||
		status == http.StatusNotFound
}

func copyAnswer(w http.ResponseWriter, response *http.Response) {
	for _, name := range []string{"Content-Type", "Cache-Control", "X-Request-Id", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
}

func appendEvent(b []byte, e relay.Event) []byte {
	if e.ID != 0 {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, e.ID, 10)
		b = append(b, '\n')
	}
	for line := range bytes.SplitSeq(e.Data, []byte{'\n'}) {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}
