// Package runner simulates a model runner or a plain service of the platform. Its
// responses contain its identity, a signature (the header X-Response-Seal) and its
// load. It refuses requests that are addressed to another instance, and supports fault
// injection.
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

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/framing"
)

// Fault is a type of fault that a Runner can simulate.
type Fault string

// The faults of a Runner.
const (
	// FaultNone means that the runner works normally.
	FaultNone Fault = ""
	// FaultQueueFull refuses the request because of a full queue, without executing it.
	FaultQueueFull Fault = "full"
	// FaultError executes the request and responds with status 500.
	FaultError Fault = "error"
	// FaultUnavailable executes the request and responds with status 503, without
	// the header that marks a request as not executed.
	FaultUnavailable Fault = "unavailable"
	// FaultReset executes the request and closes the connection without a
	// response.
	FaultReset Fault = "reset"
	// FaultTruncated closes the connection in the middle of the response.
	FaultTruncated Fault = "cut"
	// FaultOtherID responds with the identifier of another attempt.
	FaultOtherID Fault = "other-id"
	// FaultUnsigned responds with success but without a signature.
	FaultUnsigned Fault = "unsigned"
	// FaultSecondResponse sends a second response after the first one. It has no
	// effect on streams.
	FaultSecondResponse Fault = "surplus"
	// FaultNoResponse executes the request and sends no response.
	FaultNoResponse Fault = "mute"
)

// Execution is a request whose execution the runner has started.
type Execution struct {
	AttemptID string
	// Target is the path of the request with its query.
	Target string
	Body   string
	Header http.Header
	// StartedAt is when the execution started.
	StartedAt time.Time
}

// Runner simulates a runner or a plain service. It is an http.Handler and safe for
// concurrent use. The exported fields must not change while it serves requests.
type Runner struct {
	// ID is the runner's identifier.
	ID string
	// Events is the number of events of a stream; 0 means a response that is not
	// streamed.
	Events int
	// EventInterval is the delay before each event of a stream.
	EventInterval time.Duration
	// UnframedOneIn is how many streams there are to one that has neither a length nor chunks and
	// ends with its connection; 0 means that there is none. The server must be protected
	// (framing.Protect) unless it is 0.
	UnframedOneIn uint64
	// CrashPart is the identifier of a prompt part, in the notation of callers. OnCrash is
	// called instead of writing the first event to a request that contains it, and the
	// request is then held until its connection is closed. Empty means that there is none.
	CrashPart string
	OnCrash   func()
	// CrashBody does the same to requests with this body, before any answer. Empty means that
	// there is none.
	CrashBody string

	mu              sync.Mutex
	fault           Fault
	faultsRemaining int
	limit           float64
	isLeaving       bool
	backoff         string
	executions      []Execution
	arrivals        []Arrival
	canceledCount   int
}

// SetFault makes f apply to as many further requests as times states, or to all
// further requests if times is negative. It replaces the previous fault.
func (r *Runner) SetFault(f Fault, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.faultsRemaining = f, times
}

// Executions returns the requests whose execution the runner has started, in order.
func (r *Runner) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// CanceledCount returns the number of streams that ended because the client canceled
// the request or disconnected.
func (r *Runner) CanceledCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canceledCount
}

// takeFault returns the fault of the next request and decrements the number of
// requests that it still applies to.
func (r *Runner) takeFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultsRemaining == 0 {
		return FaultNone
	}
	if r.faultsRemaining > 0 {
		r.faultsRemaining--
	}
	return r.fault
}

// ServeHTTP executes a request, subject to the current fault.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", r.ID)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Load", "3,1,8")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if backoff := r.arrive(id, w.Header()); backoff != "" {
		w.Header().Set("Retry-After", backoff)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fault := r.takeFault()
	if fault == FaultQueueFull {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.executions = append(r.executions, Execution{AttemptID: id, Target: request.RequestURI, Body: string(body), Header: request.Header.Clone(), StartedAt: time.Now()})
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
	case FaultNoResponse:
		<-request.Context().Done()
		return
	case FaultOtherID:
		w.Header().Set("X-Attempt-Id", "another")
	case FaultUnsigned:
		w.Header().Del("X-Response-Seal")
	}
	if r.CrashPart != "" && HasPart(request.Header, r.CrashPart) {
		time.Sleep(r.EventInterval)
		_ = http.NewResponseController(w).Flush()
		r.OnCrash()
		<-request.Context().Done()
		return
	}
	if r.CrashBody != "" && string(body) == r.CrashBody {
		time.Sleep(r.EventInterval)
		r.OnCrash()
		<-request.Context().Done()
		return
	}
	if r.Events > 0 {
		r.serveStream(w, request, fault)
		return
	}
	r.servePlain(w, fault)
}

func (r *Runner) servePlain(w http.ResponseWriter, fault Fault) {
	const answer = "answer of the runner"
	switch fault {
	case FaultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:5])
		panic(http.ErrAbortHandler)
	case FaultSecondResponse:
		r.writeTwoResponses(w, answer)
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// writeTwoResponses writes a complete response and then the same response again on
// the same connection.
func (r *Runner) writeTwoResponses(w http.ResponseWriter, answer string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := formatHead(w.Header(), len(answer))
	fmt.Fprint(buffered, head, answer, head, answer)
	_ = buffered.Flush()
	waitForClose(conn, buffered.Reader)
}

// formatHead returns the status line and the headers of a response with status 200.
func formatHead(header http.Header, length int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for name, values := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	return b.String()
}

// waitForClose reads and discards data until the peer closes the connection, for at
// most 10 s.
func waitForClose(conn net.Conn, reader *bufio.Reader) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, reader)
}

func (r *Runner) serveStream(w http.ResponseWriter, request *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.UnframedOneIn > 0 && xxhash.Sum64String(request.Header.Get("X-Attempt-Id"))%r.UnframedOneIn == 0 {
		framing.Begin(w, request, framing.Conn)
	}
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for n := first; n <= r.Events; n++ {
		select {
		case <-request.Context().Done():
			r.mu.Lock()
			r.canceledCount++
			r.mu.Unlock()
			return
		case <-time.After(r.EventInterval):
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if fault == FaultTruncated && n == first+1 {
			_, _ = io.WriteString(w, text[:8])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
	}
}

// HasPart reports whether the prompt of a request contains a part other than as its last.
func HasPart(header http.Header, part string) bool {
	parts := strings.Split(header.Get("X-Prompt-Prefix"), ",")
	for _, entry := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}
