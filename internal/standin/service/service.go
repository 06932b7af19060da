package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/standin/control"
)

// maxBody bounds the body of a call.
const maxBody = 16 << 20

// Config sets up a Service.
type Config struct {
	Name    string
	Version string
	// ServiceTime is how long the execution of a call takes.
	ServiceTime time.Duration
}

// Service is the stand-in of a plain service. It is an http.Handler and safe
// for concurrent use.
type Service struct {
	config Config
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux

	mu      sync.Mutex
	running int
	loadSeq int64
}

// New returns a Service.
func New(config Config) *Service {
	s := &Service{config: config, faults: control.NewFaults[Faults](nil), mux: http.NewServeMux()}
	s.mux.HandleFunc("/", s.serveCall)
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.Handle("/control/faults", s.faults)
	s.mux.Handle("GET /control/log", &s.log)
	return s
}

// ServeHTTP executes any call and serves the control calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the switchable faults.
func (s *Service) Faults() *control.Faults[Faults] { return s.faults }

// Log returns the log of executed calls.
func (s *Service) Log() *control.Log { return &s.log }

func (s *Service) enter(by int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += by
	return s.running
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	running := s.enter(1)
	defer s.enter(-1)
	if s.faults.Get().Draining {
		s.add("refuse", r, "")
		control.Draining(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		// The call arrived in part and is not executed.
		control.Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	fault := s.next(r.URL.Path, running)
	if fault.FailBefore != 0 {
		s.add("fail", r, "")
		control.Error(w, http.StatusInternalServerError, "internal", "the service failed")
		return
	}
	if fault.CloseBefore != 0 {
		control.Abort()
	}
	// A call that arrived in full is executed even when its caller leaves.
	time.Sleep(s.config.ServiceTime + time.Duration(fault.DelayMs)*time.Millisecond)
	hash := fmt.Sprintf("%016x", xxhash.Sum64(body))
	number := s.add("executed", r, hash)
	switch {
	case fault.CloseAfter != 0:
		control.Abort()
	case fault.HangAfter != 0:
		<-r.Context().Done()
		control.Abort()
	case fault.FailAfter != 0:
		control.Error(w, http.StatusInternalServerError, "internal", "the service failed")
		return
	}
	w.Header().Set("X-Version", s.config.Version)
	control.JSON(w, http.StatusOK, map[string]any{
		"service": s.config.Name, "version": s.config.Version, "execution": number, "path": r.URL.Path, "bodyHash": hash,
	})
}

// next returns the faults that hit this call, with counts used up.
func (s *Service) next(path string, running int) Faults {
	var hit Faults
	s.faults.Take(func(f *Faults) bool {
		if !f.applies(path, running) {
			return false
		}
		hit.DelayMs = f.DelayMs
		for _, c := range []struct{ from, to *int }{
			{&f.FailBefore, &hit.FailBefore}, {&f.CloseBefore, &hit.CloseBefore}, {&f.CloseAfter, &hit.CloseAfter},
			{&f.HangAfter, &hit.HangAfter}, {&f.FailAfter, &hit.FailAfter},
		} {
			if take(c.from) {
				*c.to = 1
				return true
			}
		}
		return false
	})
	return hit
}

func (s *Service) add(event string, r *http.Request, hash string) int64 {
	return s.log.Add(control.Entry{
		Event: event, RequestID: r.Header.Get("X-Request-Id"), Attempt: r.Header.Get("X-Attempt"), Method: r.Method,
		Path: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key"), BodyHash: hash, Version: s.config.Version,
	})
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.loadSeq++
	running, seq := s.running, s.loadSeq
	s.mu.Unlock()
	control.JSON(w, http.StatusOK, map[string]any{
		"running": running, "waiting": 0, "kvUsedTokens": 0, "kvTotalTokens": 0, "version": s.config.Version,
		"draining": s.faults.Get().Draining, "seq": seq, "ageMs": 0,
	})
}
