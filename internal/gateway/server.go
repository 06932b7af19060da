package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/callerbody"
	"rattantide/internal/callerbudget"
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
	// noRoomRetryAfter is the Retry-After delay while the budget for requests is used up;
	// bodies that have not arrived within about this time make room for others.
	noRoomRetryAfter = time.Second
	// defaultCallerBytes is the budget for requests if none is given.
	defaultCallerBytes = 64 << 20
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
	if opts.CallerBudget == nil {
		opts.CallerBudget = callerbudget.New(defaultCallerBytes)
	}
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
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }

// serve serves a request; f is what the daemon that forwarded it says, or nil.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, f *forwarded) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	x := &exchange{server: s, writer: w, request: r, receivedAt: time.Now(), forwarded: f}
	if f != nil {
		x.attempts, x.sends = f.sends, f.sends
	}
	defer x.releaseBody()
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
		framing.Abort()
	}
}

// readBody buffers the whole body, so that it can be sent again in a retry. What the request
// holds is charged until releaseBody.
func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	caller := callerbudget.Caller{Address: callerbudget.AddressOf(x.request.RemoteAddr)}
	if x.forwarded != nil {
		caller.Address = x.forwarded.caller
	}
	if x.workspace != nil {
		caller.Workspace = x.workspace.Name
	}
	x.bodyRead = true
	held, err := callerbody.Read(x.writer, x.request, callerbody.Options{Budget: x.server.opts.CallerBudget, Caller: caller, Limit: limit, Deadline: x.deadline})
	x.held, x.body = held, held.Bytes
	x.hasBody = x.body != nil || x.request.Header.Get("Content-Length") != ""
	switch {
	case err == nil:
		return nil
	case errors.Is(err, callerbody.ErrTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, callerbody.ErrNoRoom):
		return newRefusalWithRetry(http.StatusServiceUnavailable, err.Error(), noRoomRetryAfter)
	case errors.Is(err, callerbody.ErrTooSlow):
		return newRefusal(http.StatusRequestTimeout, err.Error())
	}
	x.callerDisconnected = x.request.Context().Err() != nil
	return newRefusal(http.StatusBadRequest, "body could not be read")
}

// releaseBody ends what the request holds.
func (x *exchange) releaseBody() {
	if x.held != nil {
		x.held.Release()
	}
}
