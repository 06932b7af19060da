package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelService = "assistant"
	modelSlots   = 4
	modelPath    = "/chat/"
	// keepPath is the path of calls that keep a session; they have answers without a body.
	keepPath = "/keep/"
	// modelEvents is the number of events of each stream.
	modelEvents     = 20
	firstEventDelay = 100 * time.Millisecond
	eventInterval   = 50 * time.Millisecond
	// extraShare is the share of the answers of a faulty runner that come a second time, at
	// the point where the next answer on the connection is expected. The fault lasts for
	// faultTime and comes back after faultPause.
	extraShare = 0.03
	faultTime  = 5 * time.Second
	faultPause = time.Second
)

// modelRunner is a stand-in of a model runner. It takes a request at a time from each
// connection, stops work when the connection closes, and refuses requests when it is full.
type modelRunner struct {
	r       *run
	id      string
	address string
	born    int64
	// isFaulty makes it send some of its answers a second time.
	isFaulty bool
	listener net.Listener

	mu      sync.Mutex
	seqNo   int
	running int
	runs    []modelRun
}

// modelRun is a request that a model runner ran.
type modelRun struct {
	runner     string
	start, end time.Time
}

func (r *run) addModelRunner(id string, isFaulty bool) (*modelRunner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &modelRunner{r: r, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), isFaulty: isFaulty, listener: l}
	m.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			m.register()
		}
	}()
	go m.accept()
	r.logf("started model runner %s at %s, sends answers twice: %v", id, m.address, isFaulty)
	return m, nil
}

// register writes the entry of the runner to the store.
func (m *modelRunner) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seqNo++
	m.r.store.Set("servers", m.id, map[string]any{
		"service": modelService, "address": m.address, "zone": "zone-a", "version": "v1", "slots": modelSlots, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seqNo": m.seqNo, "born": m.born,
	})
}

func (m *modelRunner) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serveConn(conn)
	}
}

// serveConn answers the requests of a connection one after the other.
func (m *modelRunner) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if extra != "" {
			m.r.logf("%s sends an answer a second time, before that to %s %s", m.id, request.URL.Path, id)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		expected := request.Header.Get("X-Expect-Instance")
		answer := ""
		switch {
		case expected != "" && expected != m.id:
			answer = m.refusal(id, http.StatusMisdirectedRequest)
		case request.URL.Path == keepPath:
			answer = m.keep(id)
		case !m.enter():
			m.r.logf("%s refuses %s: it is full", m.id, id)
			answer = m.refusal(id, http.StatusServiceUnavailable)
		}
		if answer == "" {
			if !m.stream(conn, id) {
				return
			}
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if m.isFaulty && isFaultTime(time.Since(m.r.start)) && rand.Float64() < extraShare {
			extra = answer
		}
	}
}

// keep runs a call that keeps a session and returns its answer.
func (m *modelRunner) keep(id string) string {
	m.r.logf("run of %s at %s, %s", id, m.id, keepPath)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Length: 0\r\n\r\n", id, id)
}

func (m *modelRunner) refusal(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, m.id)
}

// isFaultTime reports whether the fault is present, a time after the start of the run.
func isFaultTime(since time.Duration) bool { return since%(faultTime+faultPause) < faultTime }

// enter takes a slot. It returns false if the runner is full.
func (m *modelRunner) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running >= modelSlots {
		return false
	}
	m.running++
	return true
}

// stream runs a request and reports whether its answer was written.
func (m *modelRunner) stream(conn net.Conn, id string) bool {
	run := modelRun{runner: m.id, start: time.Now()}
	m.r.logf("run of %s begins at %s", id, m.id)
	ok := m.writeStream(conn, id)
	run.end = time.Now()
	m.r.logf("run of %s ends at %s, complete: %v", id, m.id, ok)
	m.mu.Lock()
	m.running--
	m.runs = append(m.runs, run)
	m.mu.Unlock()
	m.r.recordModelRun(id, run)
	return ok
}

func (m *modelRunner) writeStream(conn net.Conn, id string) bool {
	time.Sleep(firstEventDelay)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= modelEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := io.WriteString(conn, strconv.FormatInt(int64(len(event)), 16)+"\r\n"+event+"\r\n"); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// modelRuns holds the runs of model runners by attempt.
type modelRuns struct {
	mu   sync.Mutex
	byID map[string][]modelRun
}

func (r *run) recordModelRun(id string, run modelRun) {
	r.modelRuns.mu.Lock()
	defer r.modelRuns.mu.Unlock()
	if r.modelRuns.byID == nil {
		r.modelRuns.byID = map[string][]modelRun{}
	}
	r.modelRuns.byID[id] = append(r.modelRuns.byID[id], run)
}
