package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a model runner. It writes its answers itself, so that their framing
// can be chosen. It runs a request once it has read it whole.
type runner struct {
	id, service string
	// events and eventInterval describe its streams.
	events        int
	eventInterval time.Duration
	// unframedShare is the share of its answers that have no length and end with their
	// connection.
	unframedShare float64
	lab           *lab
	record        *record
	// crashes decides whether a request ends the runner when it begins to write the answer; nil
	// means that none does. The runner is back after downTime.
	crashes  func(*http.Request) bool
	downTime time.Duration

	mu       sync.Mutex
	listener net.Listener
	runs     map[string]*execution
	conns    map[net.Conn]bool
	isDown   bool
	// crashedAt holds the times of its ends, and fatalAt those at which requests that end it
	// reached it.
	crashedAt, fatalAt []time.Time
}

// execution is what a runner did for one request.
type execution struct {
	// body is the whole body of the answer, and unframed its framing.
	body     string
	unframed bool
	// tenant is the X-Tenant of the request.
	tenant string
}

func startRunner(l *lab, id, service string, events int, interval time.Duration, unframedShare float64) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, events: events, eventInterval: interval, unframedShare: unframedShare, lab: l, record: l.record, listener: listener, runs: map[string]*execution{}, conns: map[net.Conn]bool{}}
	go r.accept(listener)
	r.register(listener)
	return r, nil
}

// register writes the runner's entry at its start.
func (r *runner) register(listener net.Listener) {
	r.lab.store.set("servers", r.id, map[string]any{
		"service": r.service, "address": listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 128,
		"state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli(),
	})
}

func (r *runner) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.isDown {
			_ = c.Close()
		} else {
			r.conns[c] = true
		}
		r.mu.Unlock()
		go r.serve(c)
	}
}

// crash ends the runner: its connections are closed and new ones refused until it starts again
// at its address, under its id.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown {
		return
	}
	r.isDown = true
	r.crashedAt = append(r.crashedAt, time.Now())
	r.record.add("%s crashes", r.id)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
	time.AfterFunc(r.downTime, r.restart)
}

func (r *runner) restart() {
	listener, err := net.Listen("tcp4", r.listener.Addr().String())
	if err != nil {
		r.record.add("%s can't start yet: %v", r.id, err)
		time.AfterFunc(50*time.Millisecond, r.restart)
		return
	}
	r.mu.Lock()
	r.listener, r.isDown = listener, false
	r.mu.Unlock()
	r.record.add("%s is back", r.id)
	r.register(listener)
	go r.accept(listener)
}

// isFatal reports whether a request that has reached the runner ends it, and records that.
func (r *runner) isFatal(request *http.Request) bool {
	if r.crashes == nil || !r.crashes(request) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fatalAt = append(r.fatalAt, time.Now())
	r.record.add("%s gets %s, which ends it", r.id, request.Header.Get("X-Attempt-Id"))
	return true
}

// serve answers the requests of one connection.
func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.handle(c, request, len(body)) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (r *runner) handle(c net.Conn, request *http.Request, bodyBytes int) bool {
	id := request.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + r.id + "\r\nX-Server-Load: 1,0,128\r\n"
	switch {
	case request.URL.Path == "/health" || request.URL.Path == "/report":
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+head+"Content-Length: 2\r\n\r\n{}")
		return err == nil
	case request.Header.Get("X-Expect-Instance") != "" && request.Header.Get("X-Expect-Instance") != r.id:
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.isFatal(request) {
		time.Sleep(r.eventInterval)
		r.crash()
		return false
	}
	run := &execution{unframed: rand.Float64() < r.unframedShare, tenant: request.Header.Get("X-Tenant")}
	var whole strings.Builder
	for n := 1; n <= r.events; n++ {
		whole.WriteString(r.event(id, n))
	}
	run.body = whole.String()
	r.mu.Lock()
	r.runs[id] = run
	r.mu.Unlock()
	r.record.add("%s runs %s for tenant %q: body of %d bytes, unframed %v", r.id, id, run.tenant, len(run.body), run.unframed)
	head += "X-Response-Seal: seal-" + r.id + "-" + id + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	if run.unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	for n := 1; n <= r.events; n++ {
		time.Sleep(r.eventInterval)
		text := r.event(id, n)
		if !run.unframed {
			text = strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
		}
		if _, err := io.WriteString(c, text); err != nil {
			r.record.add("%s: the connection of %s ended at event %d", r.id, id, n)
			return false
		}
	}
	if run.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (r *runner) event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", n, n, id, r.id)
}

// run returns the run of a request, or nil.
func (r *runner) run(id string) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
