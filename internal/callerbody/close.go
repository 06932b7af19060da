package callerbody

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// CloseAfterAnswer makes the server close the connection after the answer, without reading
// the rest of the request. The server delays the close, so that the caller can read the
// answer first.
func CloseAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// The server delays the close only after a request that has hit a limit; a reader that
	// hits one of 0 bytes is the way to say so.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// keepSyncBytes is the largest rest of a body that is read after an early rejection to keep
// the connection.
const keepSyncBytes = 4 << 10

// LeaveUnread prepares a rejection before the body was read: the server reads the rest of a
// small one, for a second at most, and closes the connection after the answer otherwise.
func LeaveUnread(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= keepSyncBytes:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Second))
	default:
		CloseAfterAnswer(w)
	}
}

// guardTime bounds the arrival of a body that no handler reads.
const guardTime = 60 * time.Second

// Guard returns a handler that bounds the time in which the body of a request arrives. Read
// sets a closer bound. Without one, the server waits forever for the rest of a body that a
// handler did not read.
func Guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(guardTime))
		}
		h.ServeHTTP(w, r)
	})
}
