package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// plainRunner is a runner of a plain service. Unless framed is set, its answers have no length: each ends with its
// connection, as the pages allow. It works on `slots` requests at a time and queues the rest.
type plainRunner struct {
	id       string
	work     time.Duration
	slots    chan struct{}
	listener net.Listener
	record   *record
	// losesAnswer tells of each request that was run whether its connection is reset instead
	// of the answer; it is nil without a disturbance.
	losesAnswer atomic.Pointer[func() bool]
	// framed gives the answers a length.
	framed bool

	mu   sync.Mutex
	runs map[string]int
}

func startPlainRunner(id string, slots int, work time.Duration, rec *record) (*plainRunner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &plainRunner{id: id, work: work, slots: make(chan struct{}, slots), listener: listener, record: rec, runs: map[string]int{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c.(*net.TCPConn))
		}
	}()
	return r, nil
}

func (r *plainRunner) address() string { return r.listener.Addr().String() }

// serve answers the requests on a connection. An answer without a length ends it.
func (r *plainRunner) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		r.slots <- struct{}{}
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		r.record.add("run %s at %s", id, r.id)
		time.Sleep(r.work)
		<-r.slots
		if loses := r.losesAnswer.Load(); loses != nil && (*loses)() {
			r.record.add("answer lost %s at %s", id, r.id)
			_ = c.SetLinger(0)
			return
		}
		body := "status of " + request.URL.Path
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\nX-Server-Load: %d,0,%d\r\n", id, r.id, r.id, id, len(r.slots), cap(r.slots))
		if r.framed {
			if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
				return
			}
			continue
		}
		_, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, body)
		return
	}
}

// runCount returns how often a request was run.
func (r *plainRunner) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
