package callerbody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/callerbudget"
)

// result is what a server has read of one request.
type result struct {
	body string
	err  error
}

// serve starts a server that reads bodies with the given options, and returns its address and
// the results of its requests.
func serve(t testing.TB, o Options, timeout time.Duration) (string, <-chan result) {
	results := make(chan result, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := o
		if timeout > 0 {
			o.Deadline = time.Now().Add(timeout)
		}
		b, err := Read(w, r, o)
		results <- result{string(b.Bytes), err}
		b.Release()
		if err != nil {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), results
}

func dial(t testing.TB, address string) net.Conn {
	c, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newOptions() Options {
	return Options{Budget: callerbudget.New(1 << 20), Caller: callerbudget.Caller{Address: "a"}, Limit: 64 << 10}
}

const post = "POST / HTTP/1.1\r\nHost: h\r\n"

// Guards against bodies that are changed by how they are framed, and against a connection that
// is out of step with its caller afterwards: each request is sent twice on one connection.
func TestFraming(t *testing.T) {
	large := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		request, body string
		err           error
	}{
		"no body":        {request: post + "\r\n"},
		"length":         {request: post + "Content-Length: 4\r\n\r\nbody", body: "body"},
		"largest length": {request: post + "Content-Length: 65536\r\n\r\n" + large, body: large},
		"largest chunks": {request: post + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + large[:32<<10] + "\r\n8000\r\n" + large[:32<<10] + "\r\n0\r\n\r\n", body: large},
		"trailer":        {request: post + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n", body: "body"},
		"announced over": {request: post + "Content-Length: 65537\r\n\r\n", err: ErrTooLarge},
		"sent over":      {request: post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + large + "x\r\n", err: ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOptions()
			address, results := serve(t, o, 0)
			conn := dial(t, address)
			reader := bufio.NewReader(conn)
			for range 2 {
				_, err := io.WriteString(conn, c.request)
				assert.NilError(t, err)
				got := <-results
				assert.ErrorIs(t, got.err, c.err)
				assert.Assert(t, got.body == c.body, "%d bytes", len(got.body))
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "the answer is lost")
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.Close, c.err != nil, "only the connection of a body that was not read is closed")
				if c.err != nil {
					break
				}
			}
		})
	}
}

// Guards against a slow body that is terminated although it is complete before its deadline,
// and against a stalled one that is kept.
func TestSlowBodies(t *testing.T) {
	o := newOptions()
	address, results := serve(t, o, 2*time.Second)
	slow, stalled := dial(t, address), dial(t, address)
	_, _ = fmt.Fprintf(slow, post+"Content-Length: 10\r\n\r\n")
	_, _ = fmt.Fprintf(stalled, post+"Transfer-Encoding: chunked\r\n\r\n4\r\nbod")
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		_, _ = fmt.Fprint(slow, "x")
	}
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "xxxxxxxxxx")
	got = <-results
	assert.ErrorIs(t, got.err, ErrTooSlow)
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err, "the answer is lost")
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, o.Budget.Stats().Held, int64(0))
}

// Guards against a stalled body that keeps the room which another one needs.
func TestStalledBodyLosesRoom(t *testing.T) {
	o := newOptions()
	o.Budget = callerbudget.New(48 << 10)
	address, results := serve(t, o, 0)
	stalled, next := dial(t, address), dial(t, address)
	_, _ = fmt.Fprintf(stalled, post+"Content-Length: 30000\r\n\r\n%s", strings.Repeat("x", 29_999))
	time.Sleep(revocableAfter + 200*time.Millisecond)
	_, _ = fmt.Fprintf(next, post+"Content-Length: 30000\r\n\r\n%s", strings.Repeat("y", 30_000))
	failed, served := <-results, <-results
	if failed.err == nil {
		failed, served = served, failed
	}
	assert.ErrorIs(t, failed.err, ErrNoRoom)
	assert.NilError(t, served.err)
	assert.Equal(t, served.body, strings.Repeat("y", 30_000))
}
