package server

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"rattantide/internal/callerbody"
	"rattantide/internal/journal"
	"rattantide/internal/responsehead"
)

// Server serves the caller API. Its methods are safe for concurrent use.
type Server struct {
	options Options
	metrics *metrics
	mux     *http.ServeMux
	// singleUseClient sends the calls that must run at most once, keepAliveClient
	// the other calls to plain services and the calls to other daemons.
	singleUseClient *http.Client
	keepAliveClient *http.Client
	idle            idleTracker
	// kvSlots is a semaphore that bounds the exported KV caches in memory.
	kvSlots chan struct{}
	// stopWatch stops watchUpstreams and waits until it has returned.
	stopWatch func()

	mu sync.Mutex
	// active holds the requests that are being executed, by identifier.
	active   map[string]*activeRequest
	draining bool
	closed   bool
}

// activeRequest is a request that this daemon is executing.
type activeRequest struct {
	record *journal.Record
	cancel context.CancelCauseFunc
	// done is closed when the goroutine that executes the request has finished.
	done chan struct{}
	// attempt is the attempt in progress, or nil between attempts.
	attempt atomic.Pointer[activeAttempt]
}

// New returns a Server. Close must be called to cancel its open requests and
// release its connections.
func New(options Options) *Server {
	options = options.withDefaults()
	transport := responsehead.NewTransport(options.Transport)
	s := &Server{
		options:         options,
		metrics:         newMetrics(options.Scope),
		mux:             http.NewServeMux(),
		singleUseClient: newServiceClient(transport.SingleUse()),
		keepAliveClient: newServiceClient(transport),
		active:          map[string]*activeRequest{},
		kvSlots:         make(chan struct{}, maxHeldKVCaches),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	s.mux.HandleFunc("GET /v1/requests/{id}", s.serveAnswer)
	s.mux.HandleFunc("GET /v1/requests/{id}/stream", s.serveStream)
	s.mux.HandleFunc("GET /v1/requests/{id}/status", s.serveStatus)
	s.mux.HandleFunc("GET /v1/entries", s.serveEntries)
	s.mux.HandleFunc("/", s.serveService)
	ctx, cancel := context.WithCancel(context.Background())
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		s.watchUpstreams(ctx)
	}()
	s.stopWatch = func() {
		cancel()
		<-watchDone
	}
	return s
}

// Handler returns the handler of the caller API.
func (s *Server) Handler() http.Handler { return callerbody.Guard(s.markForwarded(s.mux)) }

// Start executes the request of a record in the background until it ends. It is
// used for accepted requests and for records that were taken over from another
// daemon.
func (s *Server) Start(rec *journal.Record) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &activeRequest{record: rec, cancel: cancel, done: make(chan struct{})}
	s.mu.Lock()
	if s.closed {
		cancel(errClosed)
	}
	s.active[rec.ID] = c
	s.mu.Unlock()
	s.idle.add(1)
	go func() {
		defer s.idle.add(-1)
		defer close(c.done)
		defer cancel(nil)
		s.execute(ctx, c)
		s.mu.Lock()
		if s.active[rec.ID] == c {
			delete(s.active, rec.ID)
		}
		s.mu.Unlock()
	}()
	// A record that was taken over has no caller on this daemon yet whose
	// disconnection would start the abandon timer.
	if rec.IsAbandoned() {
		s.scheduleAbandon(rec)
	}
}

// Stop stops the execution of a record that another daemon took over and waits
// until it has stopped. The generation at the engine is not cancelled.
func (s *Server) Stop(rec *journal.Record) {
	s.mu.Lock()
	c := s.active[rec.ID]
	s.mu.Unlock()
	if c == nil || c.record != rec {
		return
	}
	c.cancel(errMoved)
	<-c.done
}

// Close cancels all open requests, waits until they have ended, and closes idle
// connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	active := make([]*activeRequest, 0, len(s.active))
	for _, c := range s.active {
		active = append(active, c)
	}
	s.mu.Unlock()
	for _, c := range active {
		c.cancel(errClosed)
	}
	for _, c := range active {
		<-c.done
	}
	s.stopWatch()
	s.singleUseClient.CloseIdleConnections()
	s.keepAliveClient.CloseIdleConnections()
}

func (s *Server) cancelRequest(rec *journal.Record, cause error) {
	s.mu.Lock()
	c := s.active[rec.ID]
	s.mu.Unlock()
	if c != nil && c.record == rec {
		c.cancel(cause)
	}
}
