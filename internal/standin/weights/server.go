package weights

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/time/rate"

	"rattantide/internal/standin/control"
)

// chunkBytes is the size of the chunks to which the rate limit is applied.
const chunkBytes = 64 << 10

// Config configures a Server.
type Config struct {
	// Bytes is the size of each version. The default is 1 MiB.
	Bytes int
	// BytesPerSecond limits the total rate of all readers; 0 means no limit.
	BytesPerSecond float64
	// MaxReaders is the maximum number of concurrent reads. Reads above it are
	// refused with status 429. 0 means no limit.
	MaxReaders int64
}

// Faults are the injected faults of the store.
type Faults struct {
	// Outage makes reads fail with status 503.
	Outage bool `json:"outage"`
	// BytesPerSecond replaces the configured rate when it is not 0.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// Missing is the name of a version that the store does not contain.
	Missing string `json:"missing"`
}

// Server simulates the weight store. It is an http.Handler and safe for concurrent
// use.
type Server struct {
	config        Config
	faults        *control.Faults[Faults]
	log           control.Log
	mux           *http.ServeMux
	limit         *rate.Limiter
	activeReaders atomic.Int64
}

// New returns a Server without faults.
func New(config Config) *Server {
	if config.Bytes <= 0 {
		config.Bytes = 1 << 20
	}
	s := &Server{config: config, mux: http.NewServeMux(), limit: rate.NewLimiter(rate.Inf, chunkBytes)}
	s.faults = control.NewFaults(func(_, after Faults) { s.setLimit(after) })
	s.setLimit(Faults{})
	s.mux.HandleFunc("GET /v1/weights/{name...}", s.serveWeights)
	s.mux.Handle("/control/faults", s.faults)
	s.mux.Handle("GET /control/log", &s.log)
	return s
}

// ServeHTTP serves the store and its control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the injected faults, which can be changed at any time.
func (s *Server) Faults() *control.Faults[Faults] { return s.faults }

// Log returns the log of accepted reads.
func (s *Server) Log() *control.Log { return &s.log }

func (s *Server) setLimit(f Faults) {
	perSecond := s.config.BytesPerSecond
	if f.BytesPerSecond > 0 {
		perSecond = f.BytesPerSecond
	}
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	s.limit.SetLimit(limit)
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	faults := s.faults.Get()
	switch {
	case faults.Outage:
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the weight store is down")
		return
	case name == faults.Missing && name != "":
		control.WriteError(w, http.StatusNotFound, "not_found", "no such version")
		return
	}
	defer s.activeReaders.Add(-1)
	if n := s.activeReaders.Add(1); s.config.MaxReaders > 0 && n > s.config.MaxReaders {
		w.Header().Set("Retry-After", "1")
		control.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many readers")
		return
	}
	s.log.Add(control.Entry{Event: "read", Version: name})
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.config.Bytes))
	chunk := make([]byte, chunkBytes)
	for remaining := s.config.Bytes; remaining > 0; {
		n := min(remaining, len(chunk))
		if s.limit.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
