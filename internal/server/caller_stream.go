package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// callerStream writes server-sent events to a caller.
type callerStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// limit bounds one write.
	limit    time.Duration
	begun    bool
	deadline time.Time
}

func (s *Server) newCallerStream(w http.ResponseWriter) *callerStream {
	return &callerStream{w: w, control: http.NewResponseController(w), limit: s.options.CallerWrite}
}

// send writes complete events and flushes them. The first call answers with
// the header, so that a failure before any event still has its own status.
func (c *callerStream) send(events []byte) error {
	if !c.begun {
		c.begun = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	// The deadline is moved only when half of it has passed, which saves a
	// timer operation per event.
	if now := time.Now(); c.deadline.Sub(now) < c.limit/2 {
		c.deadline = now.Add(c.limit)
		if err := c.control.SetWriteDeadline(c.deadline); err != nil {
			return err
		}
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return c.control.Flush()
}

// copyFlushing copies a body and passes each part on at once.
func copyFlushing(w http.ResponseWriter, body io.Reader, limit time.Duration) error {
	out := &callerStream{w: w, control: http.NewResponseController(w), limit: limit, begun: true}
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
