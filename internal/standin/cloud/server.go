package cloud

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rattantide/internal/standin/control"
)

// maxPollWait limits the duration of a long poll.
const maxPollWait = time.Minute

// Server simulates the cloud API. It is an http.Handler and safe for concurrent
// use. It starts no processes: it logs each accepted start, and the program that
// runs the scenario reads the log and starts the process.
type Server struct {
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux

	mu         sync.Mutex
	notices    []Notice
	startCount int64
	changed    chan struct{}
}

// New returns a Server that has no notices.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), changed: make(chan struct{})}
	s.faults = control.NewFaults(func(_, _ Faults) { s.notifyPollers() })
	s.mux.HandleFunc("GET /v1/notices", s.serveNotices)
	s.mux.HandleFunc("POST /v1/instances", s.serveStart)
	s.mux.HandleFunc("POST /control/notices", s.serveNotify)
	s.mux.Handle("/control/faults", s.faults)
	s.mux.Handle("GET /control/log", &s.log)
	return s
}

// ServeHTTP serves the API and its control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Outage && !strings.HasPrefix(r.URL.Path, "/control/") {
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the cloud API is down")
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Faults returns the injected faults, which can be changed at any time.
func (s *Server) Faults() *control.Faults[Faults] { return s.faults }

// Log returns the log of notices and of accepted and refused starts.
func (s *Server) Log() *control.Log { return &s.log }

// Notify publishes a notice and returns its sequence number. An empty kind means
// KindReclaim.
func (s *Server) Notify(n Notice) int64 {
	if n.Kind == "" {
		n.Kind = KindReclaim
	}
	delay := time.Duration(s.faults.Get().NoticeDelayMs) * time.Millisecond
	n.deadline = time.Now().Add(time.Duration(n.DeadlineMs) * time.Millisecond)
	s.mu.Lock()
	n.Seq = int64(len(s.notices)) + 1
	s.notices = append(s.notices, n)
	s.mu.Unlock()
	s.log.Add(control.Entry{Event: n.Kind, Detail: n.Instance + n.Domain})
	if delay > 0 {
		time.AfterFunc(delay, s.notifyPollers)
	} else {
		s.notifyPollers()
	}
	return n.Seq
}

// notifyPollers wakes the waiting long polls.
func (s *Server) notifyPollers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) serveNotify(w http.ResponseWriter, r *http.Request) {
	var n Notice
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&n)
	if err != nil || (n.Instance == "") == (n.Domain == "") || (n.Kind != "" && n.Kind != KindReclaim && n.Kind != KindCancel) {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "a notice names an instance or a domain and has the kind reclaim or cancel")
		return
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"seq": s.Notify(n)})
}

func (s *Server) serveNotices(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(max(waitMs, 0))*time.Millisecond, maxPollWait))
	defer timer.Stop()
	for {
		notices, seq, changed := s.noticesAfter(since)
		if len(notices) > 0 {
			writeNotices(w, seq, notices)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeNotices(w, seq, notices)
			return
		case <-r.Context().Done():
			return
		}
		if s.faults.Get().Outage {
			control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the cloud API is down")
			return
		}
	}
}

func writeNotices(w http.ResponseWriter, seq int64, notices []Notice) {
	control.WriteJSON(w, http.StatusOK, map[string]any{"seq": seq, "notices": notices})
}

// noticesAfter returns the visible notices with a sequence number above since, the
// number of the last one, and a channel that is closed at the next change. A number
// above that of the last notice comes from before a restart and is treated as 0.
func (s *Server) noticesAfter(since int64) ([]Notice, int64, <-chan struct{}) {
	delay := time.Duration(s.faults.Get().NoticeDelayMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if since > int64(len(s.notices)) || since < 0 {
		since = 0
	}
	out, seq, now := []Notice{}, since, time.Now()
	for _, n := range s.notices[since:] {
		publishedAt := n.deadline.Add(-time.Duration(n.DeadlineMs) * time.Millisecond)
		if now.Sub(publishedAt) < delay {
			break
		}
		n.DeadlineMs = max(n.deadline.Sub(now).Milliseconds(), 0)
		out, seq = append(out, n), n.Seq
	}
	return out, seq, s.changed
}

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	refused := s.faults.Take(func(f *Faults) bool {
		if f.RefuseStarts > 0 {
			f.RefuseStarts--
			return true
		}
		return f.RefuseStarts < 0
	})
	if refused {
		s.log.Add(control.Entry{Event: "refuse", Detail: string(body)})
		control.WriteError(w, http.StatusServiceUnavailable, "no_capacity", "no instance of this kind is available")
		return
	}
	s.mu.Lock()
	s.startCount++
	name := fmt.Sprintf("started-%d", s.startCount)
	s.mu.Unlock()
	s.log.Add(control.Entry{Event: "start", Key: name, Detail: string(body)})
	control.WriteJSON(w, http.StatusCreated, map[string]any{"name": name, "state": "starting"})
}
