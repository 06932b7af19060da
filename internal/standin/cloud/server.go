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

// maxWait bounds a long poll.
const maxWait = time.Minute

// Server is the stand-in of the cloud API. It is an http.Handler and safe for
// concurrent use. It starts no processes: a start is logged, and whoever runs
// the scenario acts on it.
type Server struct {
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux

	mu      sync.Mutex
	notices []Notice
	started int64
	changed chan struct{}
}

// New returns a Server without notices.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), changed: make(chan struct{})}
	s.faults = control.NewFaults(func(_, _ Faults) { s.signal() })
	s.mux.HandleFunc("GET /v1/notices", s.serveNotices)
	s.mux.HandleFunc("POST /v1/instances", s.serveStart)
	s.mux.HandleFunc("POST /control/notices", s.serveAdd)
	s.mux.Handle("/control/faults", s.faults)
	s.mux.Handle("GET /control/log", &s.log)
	return s
}

// ServeHTTP serves the API and its control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Outage && !strings.HasPrefix(r.URL.Path, "/control/") {
		control.Error(w, http.StatusServiceUnavailable, "unavailable", "the cloud API is down")
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Faults returns the switchable faults.
func (s *Server) Faults() *control.Faults[Faults] { return s.faults }

// Log returns the log of starts.
func (s *Server) Log() *control.Log { return &s.log }

// Notify publishes a notice and returns its number. An empty kind means
// reclaim.
func (s *Server) Notify(n Notice) int64 {
	if n.Kind == "" {
		n.Kind = Reclaim
	}
	delay := time.Duration(s.faults.Get().NoticeDelayMs) * time.Millisecond
	n.deadline = time.Now().Add(time.Duration(n.DeadlineMs) * time.Millisecond)
	s.mu.Lock()
	n.Seq = int64(len(s.notices)) + 1
	s.notices = append(s.notices, n)
	s.mu.Unlock()
	s.log.Add(control.Entry{Event: n.Kind, Detail: n.Instance + n.Domain})
	if delay > 0 {
		time.AfterFunc(delay, s.signal)
	} else {
		s.signal()
	}
	return n.Seq
}

func (s *Server) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) serveAdd(w http.ResponseWriter, r *http.Request) {
	var n Notice
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&n)
	if err != nil || (n.Instance == "") == (n.Domain == "") || (n.Kind != "" && n.Kind != Reclaim && n.Kind != Cancel) {
		control.Error(w, http.StatusBadRequest, "bad_request", "a notice names an instance or a domain and has the kind reclaim or cancel")
		return
	}
	control.JSON(w, http.StatusOK, map[string]any{"seq": s.Notify(n)})
}

func (s *Server) serveNotices(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(max(waitMs, 0))*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		notices, seq, changed := s.after(since)
		if len(notices) > 0 {
			answer(w, seq, notices)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, seq, notices)
			return
		case <-r.Context().Done():
			return
		}
		if s.faults.Get().Outage {
			control.Error(w, http.StatusServiceUnavailable, "unavailable", "the cloud API is down")
			return
		}
	}
}

func answer(w http.ResponseWriter, seq int64, notices []Notice) {
	control.JSON(w, http.StatusOK, map[string]any{"seq": seq, "notices": notices})
}

// after returns the notices after a number, the number of the last one, and a
// channel that is closed at the next change. A number ahead of the last one
// comes from before a restart and is taken as 0.
func (s *Server) after(since int64) ([]Notice, int64, <-chan struct{}) {
	delay := time.Duration(s.faults.Get().NoticeDelayMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if since > int64(len(s.notices)) || since < 0 {
		since = 0
	}
	out, seq, now := []Notice{}, since, time.Now()
	for _, n := range s.notices[since:] {
		given := n.deadline.Add(-time.Duration(n.DeadlineMs) * time.Millisecond)
		if now.Sub(given) < delay {
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
		control.Error(w, http.StatusBadRequest, "bad_request", err.Error())
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
		control.Error(w, http.StatusServiceUnavailable, "no_capacity", "no instance of this kind is available")
		return
	}
	s.mu.Lock()
	s.started++
	name := fmt.Sprintf("started-%d", s.started)
	s.mu.Unlock()
	s.log.Add(control.Entry{Event: "start", Key: name, Detail: string(body)})
	control.JSON(w, http.StatusCreated, map[string]any{"name": name, "state": "starting"})
}
