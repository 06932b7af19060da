package framing_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/framing"
	"rattantide/internal/responsetest"
	"rattantide/internal/telemetry"
)

// largeBytes is the size of a body that does not fit into the buffers of a connection.
const largeBytes = 8 << 20

// newServer starts a protected server whose handler begins a response that ends with its
// connection, and then ends it as the path says.
func newServer(secure bool) (*httptest.Server, *framing.Protection) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		framing.Begin(w, r, framing.Conn)
		size := len("part")
		if r.URL.Path == "/large" {
			size = largeBytes
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		if r.URL.Path == "/complete" || r.URL.Path == "/large" {
			return
		}
		_ = http.NewResponseController(w).Flush()
		switch r.URL.Path {
		case "/aborted":
			framing.Abort()
		case "/panics":
			panic("a fault of the handler")
		case "/unwritten":
			_, _ = io.WriteString(w, "rest")
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			return
		}
		<-r.Context().Done()
		framing.Abort()
	}))
	s.Config.ErrorLog = telemetry.Discard().StandardLog()
	protection := framing.Protect(s.Config, telemetry.Discard())
	if secure {
		s.StartTLS()
	} else {
		s.Start()
	}
	return s, protection
}

// begin sends a request and returns the body of the response, which has begun.
func begin(t *testing.T, address, path, proto string, secure bool) io.Reader {
	t.Helper()
	c := responsetest.Dial(t, address)
	if secure {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	response := responsetest.Begin(t, c, fmt.Sprintf("GET %s %s\r\nHost: h\r\n\r\n", path, proto))
	assert.Equal(t, framing.Of(response, http.MethodGet), framing.Conn)
	return response.Body
}

// Runs in a process of its own, until the tests below kill it.
func TestServingProcess(t *testing.T) {
	if argument, ok := responsetest.ProcessArgument(); ok {
		s, _ := newServer(argument == "tls")
		responsetest.ServeUntilKilled(t, s.Listener.Addr().String())
	}
}

// forEachCaller runs a test for the protocols of callers whose responses may end with their
// connection.
func forEachCaller(t *testing.T, test func(t *testing.T, proto string, secure bool)) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, secure := range map[string]bool{"": false, " over TLS": true} {
			t.Run(proto+name, func(t *testing.T) { test(t, proto, secure) })
		}
	}
}

// Guards against an incomplete response that ends with an ordinary end of its connection when
// a signal ends the process, or when its handler aborts it, panics, or returns before the rest could
// be written.
func TestIncompleteResponseIsReset(t *testing.T) {
	forEachCaller(t, func(t *testing.T, proto string, secure bool) {
		s, _ := newServer(secure)
		defer s.Close()
		for _, path := range []string{"/aborted", "/panics", "/unwritten"} {
			_, err := io.ReadAll(begin(t, s.Listener.Addr().String(), path, proto, secure))
			assert.Assert(t, err != nil, path)
		}
		for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGQUIT} {
			process := responsetest.StartProcess(t, "TestServingProcess", map[bool]string{true: "tls"}[secure])
			body := begin(t, process.Address, "/open", proto, secure)
			assert.NilError(t, process.Signal(signal))
			_, err := io.ReadAll(body)
			assert.Assert(t, err != nil, signal.String())
		}
	})
}

// Guards against a complete response that is reset, also one whose caller reads slowly.
func TestCompleteResponseIsNotReset(t *testing.T) {
	forEachCaller(t, func(t *testing.T, proto string, secure bool) {
		s, _ := newServer(secure)
		defer s.Close()
		for path, size := range map[string]int{"/complete": len("part"), "/large": largeBytes} {
			content, err := io.ReadAll(begin(t, s.Listener.Addr().String(), path, proto, secure))
			assert.NilError(t, err)
			assert.Equal(t, len(content), size)
		}
	})
}

// Guards against an incomplete response that ends with an ordinary end of its connection when
// the server is closed, as at the end of a drain.
func TestIncompleteResponseIsResetWhenServerCloses(t *testing.T) {
	forEachCaller(t, func(t *testing.T, proto string, secure bool) {
		s, protection := newServer(secure)
		defer s.Close()
		body := begin(t, s.Listener.Addr().String(), "/open", proto, secure)
		protection.ResetIncomplete()
		assert.NilError(t, s.Config.Close())
		_, err := io.ReadAll(body)
		assert.Assert(t, err != nil)
	})
}
