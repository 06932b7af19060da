package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/framing"
	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

const (
	// relayedHeader marks a call that another daemon forwards, so that two daemons
	// with different views of who the holder is do not forward it in a loop.
	relayedHeader = "X-Rattantide-Relayed"
	// holderProbeInterval is how long a holder may send nothing before this
	// daemon checks whether it still holds the request.
	holderProbeInterval = 3 * time.Second
	// maxRelayedBytes bounds a non-streaming answer that is forwarded.
	maxRelayedBytes = 64 << 20
)

// callHolder forwards the caller's query to the holder of the record, which
// authenticates the caller itself. The call is cancelled when the body of the
// response is closed, when the record moves, or when its holder can no longer be
// located. The returned timer triggers the check that the holder still holds the
// record. While data arrives this check is not needed, so the timer should then be
// reset to holderProbeInterval.
func (s *Server) callHolder(r *http.Request, id, holder string, after int64) (*http.Response, *time.Timer, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.daemonURL(r, holder)+r.URL.EscapedPath(), nil)
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
	probe = time.AfterFunc(holderProbeInterval, func() {
		<-ready
		// A live holder may have to wait for its engine for a long time, so the
		// call continues as long as it is still the holder.
		location, err := s.options.Handoff.Locate(ctx, id)
		if err != nil || location.Holder != holder {
			cancel(errStalled)
			return
		}
		probe.Reset(holderProbeInterval)
	})
	close(ready)
	response, err := s.keepAliveClient.Do(request)
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

// relayedBody cancels its call when it is closed.
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

// relayNonStreaming forwards a non-streaming answer or a status document from the holder.
// It returns false, with nothing written to w, when the holder failed before it
// answered or no longer holds the record.
func (s *Server) relayNonStreaming(w http.ResponseWriter, r *http.Request, id, holder string) bool {
	response, _, err := s.callHolder(r, id, holder, 0)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRelayedBytes))
	if err != nil || response.StatusCode == http.StatusSeeOther || isReleasedByHolder(response.StatusCode, body) {
		return false
	}
	writeResponse(w, response, body)
	return true
}

// relayStream forwards a stream from the holder, without the events up to number
// after. It returns the number of the last event that was forwarded. done is false when
// the holder failed or named a successor before the end of the stream.
func (s *Server) relayStream(out *callerStream, r *http.Request, id, holder string, after int64) (last int64, done bool) {
	response, probe, err := s.callHolder(r, id, holder, after)
	if err != nil {
		return after, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxRelayedBytes))
		if err != nil || out.headerSent || isReleasedByHolder(response.StatusCode, body) {
			return after, false
		}
		writeResponse(out.w, response, body)
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
		probe.Reset(holderProbeInterval)
		isEnd := event.ID == 0
		if !isEnd && event.ID <= after {
			continue
		}
		frame = appendEvent(frame[:0], event)
		if out.send(frame) != nil {
			return after, true
		}
		if isEnd {
			// Only [DONE] and the error event have no number; both end the stream.
			return after, true
		}
		after = event.ID
	}
}

// isReleasedByHolder reports whether a response means that the daemon no longer holds
// the record.
func isReleasedByHolder(status int, body []byte) bool {
	return status == http.StatusServiceUnavailable && bytes.Contains(body, []byte(`"`+string(problem.CodeLeaving)+`"`)) ||
		status == http.StatusNotFound
}

// writeResponse sends a response whose body has been read.
func writeResponse(w http.ResponseWriter, response *http.Response, body []byte) {
	for _, name := range []string{"Content-Type", "Cache-Control", "X-Request-Id", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	framing.SetLength(w.Header(), len(body))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
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
