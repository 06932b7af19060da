package server

import (
	"errors"
	"io"
	"net/http"
	"time"

	"rattantide/internal/framing"
)

// callerStream writes server-sent events to a caller. It is used by one goroutine
// at a time.
type callerStream struct {
	w http.ResponseWriter
	// request is that of the caller.
	request *http.Request
	control *http.ResponseController
	// writeTimeout bounds one write.
	writeTimeout  time.Duration
	headerSent    bool
	writeDeadline time.Time
}

func (s *Server) newCallerStream(w http.ResponseWriter, r *http.Request) *callerStream {
	return &callerStream{w: w, request: r, control: http.NewResponseController(w), writeTimeout: s.options.CallerWriteTimeout}
}

// send writes complete events and flushes them. The header is written by the
// first call, so that a failure before the first event can still be answered
// with its HTTP status.
func (c *callerStream) send(events []byte) error {
	if !c.headerSent {
		c.headerSent = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		framing.Begin(c.w, c.request, framing.Relayed(framing.Chunks, c.request))
		c.w.WriteHeader(http.StatusOK)
	}
	// The deadline is extended only once less than half of it is left, which
	// saves a timer operation per event.
	if now := time.Now(); c.writeDeadline.Sub(now) < c.writeTimeout/2 {
		c.writeDeadline = now.Add(c.writeTimeout)
		if err := c.control.SetWriteDeadline(c.writeDeadline); err != nil {
			return err
		}
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return c.control.Flush()
}

// copyFlushing copies a body to w and flushes after every read. writeTimeout
// bounds each write.
func copyFlushing(w http.ResponseWriter, body io.Reader, writeTimeout time.Duration) error {
	out := &callerStream{w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout, headerSent: true}
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sendErr := out.send(buffer[:n]); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
