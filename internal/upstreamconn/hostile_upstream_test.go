package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/responsehead"
)

// endlessBytes is what an upstream tries to send; no response may make the client read
// it all.
const endlessBytes = 8 << 20

// script is what an upstream sends in response to each request on a connection.
type script struct {
	// before is sent once, then repeated is sent until endlessBytes are sent or the
	// client closes the connection.
	before   string
	repeated string
}

// hostileUpstream plays a script on in-memory connections, which have no buffers: the
// bytes that it has sent are the bytes that the client has read.
type hostileUpstream struct {
	script script
	sent   chan int
}

// dial implements Pools.Dial.
func (u *hostileUpstream) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go u.serve(server)
	return client, nil
}

func (u *hostileUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	total, err := io.WriteString(c, u.script.before)
	for err == nil && u.script.repeated != "" && total < endlessBytes {
		var n int
		n, err = io.WriteString(c, u.script.repeated)
		total += n
	}
	u.sent <- total
}

// exchange makes one request and returns the error of the head or of the body, and the
// number of bytes that the upstream could send before the connection was closed.
func (u *hostileUpstream) exchange(t *testing.T) (body int64, sent int, err error) {
	u.sent = make(chan int, 1)
	pools := &Pools{Dial: u.dial}
	defer pools.Close()
	response, err := pools.Do(t.Context(), "upstream", 0, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		body, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, response.Body.Close())
	}
	return body, <-u.sent, err
}

// Guards against an upstream that grows the memory of a daemon by bytes without an end
// that are not the content of a response.
func TestEndlessBytesAreCutOff(t *testing.T) {
	line := "X-A: " + strings.Repeat("a", 1000) + "\r\n"
	head := "HTTP/1.1 200 OK\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, s := range map[string]script{
		"header lines":           {head, line},
		"one header line":        {head + "X-A: ", strings.Repeat("a", 1000)},
		"continued header line":  {head + "X-A: a\r\n", " " + strings.Repeat("a", 1000) + "\r\n"},
		"status line":            {"HTTP/1.1 200 ", strings.Repeat("O", 1000)},
		"bytes without a line":   {"", strings.Repeat("\x00", 1000)},
		"empty lines":            {"", "\r\n"},
		"interim responses":      {"", "HTTP/1.1 102 Processing\r\n" + line + "\r\n"},
		"small interim ones":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk extension":        {chunked + "5;x=", strings.Repeat("a", 1000)},
		"chunk size":             {chunked, strings.Repeat("0", 1000)},
		"overflowing chunk size": {chunked + "fffffffffffffffff\r\n", strings.Repeat("a", 1000)},
		"trailer lines":          {chunked + "0\r\n", line},
		"one trailer line":       {chunked + "0\r\nX-A: ", strings.Repeat("a", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			u := &hostileUpstream{script: s}
			_, sent, err := u.exchange(t)
			assert.Assert(t, err != nil, "a response that never ends is not complete")
			bound := responsehead.MaxBytes + 2*readBufferBytes + len(s.before) + len(s.repeated)
			assert.Assert(t, sent <= bound, "%d bytes were read", sent)
		})
	}
}

// Guards against a limit of the head that also applies to the body, and against a head
// within the limit that is rejected.
func TestLargeBodyAfterLargeHead(t *testing.T) {
	padding := strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 60)
	size := 4 * responsehead.MaxBytes
	u := &hostileUpstream{script: script{before: "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n" + padding + "\r\n" + strings.Repeat("b", size)}}
	body, _, err := u.exchange(t)
	assert.NilError(t, err)
	assert.Equal(t, body, int64(size))
}

// Guards against a response with an invalid head that is passed on, and against one
// that is reported as not sent.
func TestInvalidHeads(t *testing.T) {
	for name, text := range map[string]string{
		"closed at once":         "",
		"cut status line":        "HTTP/1.1 20",
		"cut header":             "HTTP/1.1 200 OK\r\nContent-Le",
		"no status":              "HTTP/1.1 \r\n\r\n",
		"other protocol":         "SSH-2.0-x\r\n\r\n",
		"two different lengths":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"negative length":        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"overflowing length":     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"unknown encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: sixfold\r\n\r\n",
		"only an interim answer": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := &hostileUpstream{script: script{before: text}}
			_, _, err := u.exchange(t)
			var failure *Error
			assert.Assert(t, errors.As(err, &failure), "error %v", err)
			assert.Assert(t, failure.Sent)
		})
	}
}

// Guards against a body that breaks off and looks complete.
func TestTruncatedBodies(t *testing.T) {
	for name, text := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"last chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"final newline": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := &hostileUpstream{script: script{before: text}}
			_, _, err := u.exchange(t)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a connection that is used again after surplus bytes, whether they
// arrived with the response or before the next request.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, late := range map[string]bool{"in the same segment": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			surplusSent := make(chan struct{}, 2)
			readOn := make(chan struct{})
			go serveSurplus(listener, answer, late, readOn, surplusSent)
			pools := &Pools{}
			defer pools.Close()
			for range 2 {
				response, err := pools.Do(t.Context(), listener.Addr().String(), 0, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
				assert.NilError(t, err)
				text, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(text), "ok")
				readOn <- struct{}{}
				<-surplusSent
				awaitSurplus(t, pools, listener.Addr().String(), late)
			}
		})
	}
}

// serveSurplus answers one request per connection and sends a second answer, which
// nobody asked for. The late one is sent after the client has read the first.
func serveSurplus(listener net.Listener, answer string, late bool, readOn, surplusSent chan struct{}) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if late {
			_, _ = io.WriteString(c, answer)
			<-readOn
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		} else {
			_, _ = io.WriteString(c, answer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			<-readOn
		}
		surplusSent <- struct{}{}
	}
}

// awaitSurplus waits until late bytes have arrived at the idle connection.
func awaitSurplus(t *testing.T, pools *Pools, address string, late bool) {
	if !late {
		return
	}
	pools.mu.Lock()
	idle := append([]*conn(nil), pools.pools[address].idle...)
	pools.mu.Unlock()
	assert.Equal(t, len(idle), 1)
	assert.NilError(t, proc.Eventually(t.Context(), 30*time.Second, nil, func() error {
		if idle[0].isClean() {
			return errors.New("no surplus bytes yet")
		}
		return nil
	}))
}
