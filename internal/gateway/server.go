package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultMaxBody bounds a request body while the configuration names no
	// bound.
	defaultMaxBody = 4 << 20
	// startRetryAfter is about the time in which a starting daemon has its
	// configuration.
	startRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is advised while the store does not confirm the keys;
	// other daemons may well reach it.
	staleRetryAfter = 300 * time.Millisecond
)

// Server implements http.Handler.
type Server struct {
	opts Options
	open atomic.Int64

	answers  tally.Scope
	duration tally.Histogram
	first    tally.Histogram
}

// New returns a Server.
func New(opts Options) *Server {
	scope := opts.Scope.SubScope("gateway")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &Server{
		opts: opts, answers: scope,
		duration: scope.Histogram("request_duration", buckets),
		first:    scope.Histogram("first_event", buckets),
	}
}

// Open returns the requests that are being served.
func (s *Server) Open() int { return int(s.open.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	x := &exchange{server: s, writer: w, request: r, arrived: time.Now()}
	if s.opts.Leaving() {
		w.Header().Set("Connection", "close")
	}
	refused := x.admit()
	if refused == nil {
		refused = x.serve()
	}
	if refused != nil {
		x.refuse(refused)
	}
	x.log()
	if x.broken {
		// Ends the connection so that the answer cannot look complete.
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.request.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "body too large")
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
		return refuse(http.StatusRequestEntityTooLarge, "body too large")
	}
	x.gone = x.request.Context().Err() != nil
	return refuse(http.StatusBadRequest, "body could not be read")
}
