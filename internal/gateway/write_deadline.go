package gateway

import (
	"net/http"
	"time"
)

const (
	// writeGrace is how long after a request's deadline the last bytes of its answer may
	// still wait for the caller to read.
	writeGrace = 2 * time.Second
	// writeTimeout bounds a write to a caller whose request has no deadline.
	writeTimeout = 30 * time.Second
)

// setWriteDeadline bounds the writes of the answer, as a caller that does not read would
// otherwise hold its connection forever. The server resets it before the next request.
func (x *exchange) setWriteDeadline() {
	deadline := time.Now().Add(writeTimeout)
	if !x.deadline.IsZero() {
		deadline = x.deadline.Add(writeGrace)
		if earliest := time.Now().Add(writeGrace); deadline.Before(earliest) {
			deadline = earliest
		}
	}
	_ = http.NewResponseController(x.writer).SetWriteDeadline(deadline)
}

// renewWriteDeadline extends the time for the next write, unless the request's deadline
// bounds them all.
func (x *exchange) renewWriteDeadline() {
	if x.deadline.IsZero() {
		x.setWriteDeadline()
	}
}
