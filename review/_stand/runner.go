package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	runnerSlots = 32
	// runnerQueue is the number of requests that wait at a runner beside those that run.
	runnerQueue  = 64
	runnerWork   = 15 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	serviceName  = "booking"
	healthPath   = "/health"
	responseBody = "accepted"
)

// runner is a stand-in of a runner of the booking service.
type runner struct {
	r       *run
	service string
	id      string
	version string
	address string
	born    int64
	// fails reports whether a run of a request fails now.
	fails func(path string, number int) bool
	slots chan struct{}

	mu      sync.Mutex
	seqNo   int
	state   string
	stopped bool
	number  int
	running int
	waiting int
	runs    []serverRun
}

// serverRun is a request that a runner ran.
type serverRun struct {
	id, path string
	at       time.Time
	failedAt time.Time
}

// addRunner starts a runner and registers it.
func (r *run) addRunner(service, id, version string, fails func(path string, number int) bool) (*runner, error) {
	s := &runner{r: r, service: service, id: id, version: version, fails: fails, slots: make(chan struct{}, runnerSlots), state: "ready", born: time.Now().UnixMilli()}
	var err error
	if s.address, err = serve("127.0.0.1:0", s); err != nil {
		return nil, err
	}
	r.runnersMu.Lock()
	r.runners = append(r.runners, s)
	r.runnersMu.Unlock()
	s.register()
	go s.beat()
	r.logf("started runner %s, version %s, at %s", id, version, s.address)
	return s, nil
}

// register writes the entry of the runner to the store.
func (s *runner) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.seqNo++
	s.r.store.Set("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-a", "version": s.version, "slots": runnerSlots,
		"state": s.state, "coldLeftMs": 0, "seqNo": s.seqNo, "born": s.born,
	})
}

func (s *runner) beat() {
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		s.register()
	}
}

// stop ends the runner: its entry is removed, and it resets what it gets from then on.
func (s *runner) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.r.store.Remove("servers", s.id)
	s.r.logf("stopped runner %s, version %s", s.id, s.version)
}

// ServeHTTP implements http.Handler.
func (s *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Instance-Id", s.id)
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	s.mu.Lock()
	stopped, full := s.stopped, s.running+s.waiting >= runnerSlots+runnerQueue
	s.mu.Unlock()
	switch {
	case stopped:
		panic(http.ErrAbortHandler)
	case req.URL.Path == healthPath:
		return
	case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != s.id:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case full:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.execute(w, req, id)
}

// execute runs a request.
func (s *runner) execute(w http.ResponseWriter, req *http.Request, id string) {
	s.count(0, 1)
	s.slots <- struct{}{}
	s.count(1, -1)
	defer func() { <-s.slots }()
	defer s.count(-1, 0)
	startedAt := time.Now()
	s.mu.Lock()
	s.number++
	number := s.number
	s.mu.Unlock()
	time.Sleep(runnerWork)
	failed := s.fails != nil && s.fails(req.URL.Path, number)
	run := serverRun{id: id, path: req.URL.Path, at: startedAt}
	if failed {
		run.failedAt = time.Now()
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, runnerSlots)
	s.mu.Unlock()
	s.r.logf("run %s %s at %s, version %s, failed %v", id, req.URL.Path, s.id, s.version, failed)
	h := w.Header()
	h.Set("X-Response-Seal", "seal-"+id)
	h.Set("X-Server-Load", load)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write([]byte(responseBody))
}

func (s *runner) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// runnersOf returns the runners of a version of a service.
func (r *run) runnersOf(service, version string) []*runner {
	r.runnersMu.Lock()
	defer r.runnersMu.Unlock()
	var out []*runner
	for _, s := range r.runners {
		if s.service == service && s.version == version {
			out = append(out, s)
		}
	}
	return out
}

// allRuns returns the runs of all runners of a version of a service.
func (r *run) allRuns(service, version string) []serverRun {
	var out []serverRun
	for _, s := range r.runnersOf(service, version) {
		s.mu.Lock()
		out = append(out, s.runs...)
		s.mu.Unlock()
	}
	return out
}
