package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/framing"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no
	// bound.
	defaultMaxBodyBytes = 4 << 20
	// startupRetryAfter is about the time that a starting daemon needs to load its
	// configuration.
	startupRetryAfter = 300 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After delay while the store does not
	// confirm the configuration; other daemons may still reach the store.
	unconfirmedRetryAfter = 300 * time.Millisecond
)

// Server is the http.Handler that serves callers. It is safe for concurrent use.
type Server struct {
	opts         Options
	openRequests atomic.Int64
	// drain is nil until BeginDrain. running ends with endRequests.
	drain       atomic.Pointer[Drain]
	running     context.Context
	endRequests context.CancelFunc
	answers     answerBudget

	scope        tally.Scope
	duration     tally.Histogram
	firstEvent   tally.Histogram
	lostAttempts tally.Counter
	// leavingAnswers and backoffAnswers count the responses of upstreams that say that they
	// leave, or that they want no requests for some time.
	leavingAnswers tally.Counter
	backoffAnswers tally.Counter
}

// New returns a Server.
func New(opts Options) *Server {
	scope := opts.Scope.SubScope("gateway")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	running, endRequests := context.WithCancel(context.Background())
	return &Server{
		opts: opts, scope: scope, running: running, endRequests: endRequests,
		duration:       scope.Histogram("request_duration", buckets),
		firstEvent:     scope.Histogram("first_event", buckets),
		lostAttempts:   scope.Counter("lost_attempts"),
		leavingAnswers: scope.Counter("leaving_answers"),
		backoffAnswers: scope.Counter("backoff_answers"),
	}
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	x := &exchange{server: s, writer: w, request: r, receivedAt: time.Now()}
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	refusal := x.admit()
	if refusal == nil {
		refusal = x.serve()
	}
	if refusal != nil {
		x.writeRefusal(refusal)
	}
	x.log()
	if x.mustAbort {
		framing.Abort(w, x.framing, s.opts.Logger)
	}
}

// readBody buffers the whole body, so that it can be sent again in a retry.
func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.request.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, "body too large")
	}
	if x.request.Body == nil || x.request.Body == http.NoBody || x.request.ContentLength == 0 {
		x.hasBody = x.request.Header.Get("Content-Length") != ""
		return nil
	}
	x.hasBody = true
	reader := io.Reader(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var err error
	if length := x.request.ContentLength; length > 0 {
		x.body = make([]byte, length)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, "body too large")
	}
	x.callerDisconnected = x.request.Context().Err() != nil
	return newRefusal(http.StatusBadRequest, "body could not be read")
}
