// Package runner is a stand-in for a model runner or plain service of the
// platform. It answers with its identity, a signature and its load, refuses what
// was meant for another, and can be told to misbehave.
package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a way to misbehave.
type Fault string

// The faults of a Runner.
const (
	// FaultNone is for a runner that works.
	FaultNone Fault = ""
	// FaultFull refuses as a full queue does: not run.
	FaultFull Fault = "full"
	// FaultError runs the request and answers 500.
	FaultError Fault = "error"
	// FaultUnavailable runs the request and answers 503 without saying that it
	// did not run.
	FaultUnavailable Fault = "unavailable"
	// FaultReset runs the request and closes the connection without an answer.
	FaultReset Fault = "reset"
	// FaultCut breaks the answer off in the middle.
	FaultCut Fault = "cut"
	// FaultOtherID answers under the identifier of another request.
	FaultOtherID Fault = "other-id"
	// FaultUnsigned answers with a success that is not signed.
	FaultUnsigned Fault = "unsigned"
	// FaultSurplus sends a second answer after the first.
	FaultSurplus Fault = "surplus"
	// FaultMute runs the request and says nothing.
	FaultMute Fault = "mute"
)

// Run is a request that the runner began.
type Run struct {
	AttemptID string
	Target    string
	Body      string
	Header    http.Header
}

// Runner implements http.Handler. It is safe for concurrent use.
type Runner struct {
	// ID is the runner's identifier.
	ID string
	// Events is the number of events of a stream; 0 means a plain answer.
	Events int
	// Gap is the time between two events.
	Gap time.Duration

	mu       sync.Mutex
	fault    Fault
	times    int
	runs     []Run
	canceled int
}

// Misbehave makes the next requests fail; times below 0 means all.
func (r *Runner) Misbehave(f Fault, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.times = f, times
}

// Runs returns the requests that the runner began, in order.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Canceled returns how many requests ended because their connection did.
func (r *Runner) Canceled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canceled
}

// take returns the fault of the next request.
func (r *Runner) take() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.times == 0 {
		return FaultNone
	}
	if r.times > 0 {
		r.times--
	}
	return r.fault
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", r.ID)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Load", "3,1,8")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := r.take()
	if fault == FaultFull {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{AttemptID: id, Target: request.RequestURI, Body: string(body), Header: request.Header.Clone()})
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+r.ID+"-"+id)
	switch fault {
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultMute:
		<-request.Context().Done()
		return
	case FaultOtherID:
		w.Header().Set("X-Attempt-Id", "another")
	case FaultUnsigned:
		w.Header().Del("X-Response-Seal")
	}
	if r.Events > 0 {
		r.stream(w, request, fault)
		return
	}
	r.plain(w, fault)
}

func (r *Runner) plain(w http.ResponseWriter, fault Fault) {
	const answer = "answer of the runner"
	switch fault {
	case FaultCut:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:5])
		panic(http.ErrAbortHandler)
	case FaultSurplus:
		r.surplus(w, answer)
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// surplus writes a complete answer and another one behind it.
func (r *Runner) surplus(w http.ResponseWriter, answer string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := head(w.Header(), len(answer))
	fmt.Fprint(buffered, head, answer, head, answer)
	_ = buffered.Flush()
	drain(conn, buffered.Reader)
}

func head(header http.Header, length int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for name, values := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	return b.String()
}

// drain waits until the other end closes the connection.
func drain(conn net.Conn, reader *bufio.Reader) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, reader)
}

func (r *Runner) stream(w http.ResponseWriter, request *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for n := first; n <= r.Events; n++ {
		select {
		case <-request.Context().Done():
			r.mu.Lock()
			r.canceled++
			r.mu.Unlock()
			return
		case <-time.After(r.Gap):
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if fault == FaultCut && n == first+1 {
			_, _ = io.WriteString(w, text[:8])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
	}
}
