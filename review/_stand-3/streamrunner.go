package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// streamRunner is a model runner. It answers each request with numbered events, at a fixed
// interval.
type streamRunner struct {
	id       string
	events   int
	interval time.Duration
	listener net.Listener
	record   *record

	mu sync.Mutex
	// workedUntil holds when the work on a request ended, by attempt; zero while it goes on.
	workedUntil map[string]time.Time
}

func startStreamRunner(id string, events int, interval time.Duration, rec *record) (*streamRunner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &streamRunner{id: id, events: events, interval: interval, listener: listener, record: rec, workedUntil: map[string]time.Time{}}
	go func() { _ = http.Serve(listener, r) }()
	return r, nil
}

func (r *streamRunner) address() string { return r.listener.Addr().String() }

// ServeHTTP runs a request until it is complete or its connection is closed.
func (r *streamRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	r.note(id, time.Time{})
	r.record.add("run %s at %s", id, r.id)
	defer func() { r.note(id, time.Now()) }()
	control := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= r.events; n++ {
		select {
		case <-request.Context().Done():
			r.record.add("run of %s at %s was cancelled after event %d", id, r.id, n-1)
			return
		case <-time.After(r.interval):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = control.Flush()
	}
	r.record.add("run of %s at %s is complete", id, r.id)
}

func (r *streamRunner) note(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workedUntil[id] = at
}

// workEnd returns whether a request was run, and when the work on it ended.
func (r *streamRunner) workEnd(id string) (at time.Time, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ran = r.workedUntil[id]
	return at, ran
}
