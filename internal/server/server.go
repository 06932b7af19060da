package server

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"rattantide/internal/journal"
)

// Server serves the caller API. All methods are safe for concurrent use.
type Server struct {
	options  Options
	metrics  *metrics
	mux      *http.ServeMux
	once     *http.Client
	repeated *http.Client
	idle     idleTracker
	// kvSlots bounds the KV caches that are held here.
	kvSlots chan struct{}
	// stopWatch ends watchUpstreams and waits for its end.
	stopWatch func()

	mu       sync.Mutex
	calls    map[string]*call
	draining bool
	closed   bool
}

// call is a record that this daemon is working on.
type call struct {
	record *journal.Record
	cancel context.CancelCauseFunc
	// ended is closed when no goroutine works on the record any more.
	ended chan struct{}
	// running is the attempt under way, nil between attempts.
	running atomic.Pointer[running]
}

// New returns a Server. Close it to end the requests that are open.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options:  options,
		metrics:  newMetrics(options.Scope),
		mux:      http.NewServeMux(),
		once:     newServiceClient(singleUse(options.Transport)),
		repeated: newServiceClient(options.Transport),
		calls:    map[string]*call{},
		kvSlots:  make(chan struct{}, parallelKV),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	s.mux.HandleFunc("GET /v1/requests/{id}", s.serveAnswer)
	s.mux.HandleFunc("GET /v1/requests/{id}/stream", s.serveStream)
	s.mux.HandleFunc("GET /v1/requests/{id}/status", s.serveStatus)
	s.mux.HandleFunc("GET /v1/entries", s.serveEntries)
	s.mux.HandleFunc("/", s.serveService)
	ctx, cancel := context.WithCancel(context.Background())
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		s.watchUpstreams(ctx)
	}()
	s.stopWatch = func() {
		cancel()
		<-watching
	}
	return s
}

// Handler returns the caller API.
func (s *Server) Handler() http.Handler { return s.mux }

// Start works on a record until it ends. It is used for accepted requests and
// for records that were taken over from another daemon.
func (s *Server) Start(rec *journal.Record) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &call{record: rec, cancel: cancel, ended: make(chan struct{})}
	s.mu.Lock()
	if s.closed {
		cancel(errClosed)
	}
	s.calls[rec.ID] = c
	s.mu.Unlock()
	s.idle.add(1)
	go func() {
		defer s.idle.add(-1)
		defer close(c.ended)
		defer cancel(nil)
		s.work(ctx, c)
		s.mu.Lock()
		if s.calls[rec.ID] == c {
			delete(s.calls, rec.ID)
		}
		s.mu.Unlock()
	}()
	// A caller that gave up before this point was not seen to leave.
	if rec.Abandoned() {
		s.abandonLater(rec)
	}
}

// Stop ends the work on a record that another daemon took over, without
// cancelling it at the engine, and waits until it has ended.
func (s *Server) Stop(rec *journal.Record) {
	s.mu.Lock()
	c := s.calls[rec.ID]
	s.mu.Unlock()
	if c == nil || c.record != rec {
		return
	}
	c.cancel(errMoved)
	<-c.ended
}

// Close cancels all open requests and waits for their end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	open := make([]*call, 0, len(s.calls))
	for _, c := range s.calls {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.cancel(errClosed)
	}
	for _, c := range open {
		<-c.ended
	}
	s.stopWatch()
	s.once.CloseIdleConnections()
	s.repeated.CloseIdleConnections()
}

func (s *Server) cancelCall(rec *journal.Record, cause error) {
	s.mu.Lock()
	c := s.calls[rec.ID]
	s.mu.Unlock()
	if c != nil && c.record == rec {
		c.cancel(cause)
	}
}
