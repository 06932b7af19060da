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

// maxBodyBytes limits the body of a call.
const maxBodyBytes = 16 << 20

// Config configures a Service.
type Config struct {
	Name    string
	Version string
	// ServiceTime is how long the execution of a call takes.
	ServiceTime time.Duration
}

// Service simulates a plain service. It is an http.Handler and safe for concurrent
// use.
type Service struct {
	config Config
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux

	mu      sync.Mutex
	running int
	loadSeq int64
}

// New returns a Service without faults.
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

// Faults returns the injected faults, which can be changed at any time.
func (s *Service) Faults() *control.Faults[Faults] { return s.faults }

// Log returns the log of executed, failed and refused calls.
func (s *Service) Log() *control.Log { return &s.log }

// addRunning adds delta to the number of running calls and returns the result.
func (s *Service) addRunning(delta int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
	return s.running
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	running := s.addRunning(1)
	defer s.addRunning(-1)
	if s.faults.Get().Draining {
		s.logCall("refuse", r, "")
		control.WriteDraining(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		// The call did not arrive completely and is not executed.
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	fault := s.takeFaults(r.URL.Path, running)
	if fault.FailBefore != 0 {
		s.logCall("fail", r, "")
		control.WriteError(w, http.StatusInternalServerError, "internal", "the service failed")
		return
	}
	if fault.CloseBefore != 0 {
		control.AbortConnection()
	}
	// A call that arrived completely is executed even if its client disconnects.
	time.Sleep(s.config.ServiceTime + time.Duration(fault.DelayMs)*time.Millisecond)
	hash := fmt.Sprintf("%016x", xxhash.Sum64(body))
	number := s.logCall("executed", r, hash)
	switch {
	case fault.CloseAfter != 0:
		control.AbortConnection()
	case fault.HangAfter != 0:
		<-r.Context().Done()
		control.AbortConnection()
	case fault.FailAfter != 0:
		control.WriteError(w, http.StatusInternalServerError, "internal", "the service failed")
		return
	}
	w.Header().Set("X-Version", s.config.Version)
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"service": s.config.Name, "version": s.config.Version, "execution": number, "path": r.URL.Path, "bodyHash": hash,
	})
}

// takeFaults returns the delay and at most one of the counted faults for this call, and
// decrements the count of that fault if it is positive. The returned count is 1 for
// this fault and 0 for the others.
func (s *Service) takeFaults(path string, running int) Faults {
	var active Faults
	s.faults.Take(func(f *Faults) bool {
		if !f.applies(path, running) {
			return false
		}
		active.DelayMs = f.DelayMs
		for _, c := range []struct{ from, to *int }{
			{&f.FailBefore, &active.FailBefore}, {&f.CloseBefore, &active.CloseBefore}, {&f.CloseAfter, &active.CloseAfter},
			{&f.HangAfter, &active.HangAfter}, {&f.FailAfter, &active.FailAfter},
		} {
			if takeCount(c.from) {
				*c.to = 1
				return true
			}
		}
		return false
	})
	return active
}

func (s *Service) logCall(event string, r *http.Request, hash string) int64 {
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
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"running": running, "waiting": 0, "kvUsedTokens": 0, "kvTotalTokens": 0, "version": s.config.Version,
		"draining": s.faults.Get().Draining, "seq": seq, "ageMs": 0,
	})
}
