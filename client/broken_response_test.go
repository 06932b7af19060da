package client

import (
	"bytes"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/responsehead"
	"rattantide/internal/responsetest"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 3 << 20
	// uploads is how often a race between a read and a write is tried.
	uploads = 60
)

// newClientOf returns a client of the daemon at an address that makes one call for a request.
func newClientOf(t *testing.T, address string, options Options) *Client {
	options.Entries, options.Attempts, options.Backoff = []string{address}, 1, time.Millisecond
	c, err := New(options)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against a response with an invalid head, such as one with the status 000, that is
// returned as the answer to a request, or after which the request counts as not run.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, r := range responsetest.Invalid("{}") {
		t.Run(name, func(t *testing.T) {
			c := newClientOf(t, responsetest.ServeText(t, r.Text("")), Options{})
			_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders/1"})
			var failure *Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Execution, ExecutionUnknown)
		})
	}
}

// Guards against responses with valid heads that are refused.
func TestValidHeadIsAnswer(t *testing.T) {
	for name, r := range responsetest.Sound("{}") {
		t.Run(name, func(t *testing.T) {
			c := newClientOf(t, responsetest.ServeText(t, r.Text("")), Options{})
			response, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders/1"})
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "{}")
		})
	}
}

// Guards against a response with the status 000 that is returned as an answer if the calls are
// made by a client of the user's, or over TLS.
func TestInvalidStatusIsNoAnswerOfOtherClients(t *testing.T) {
	status := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}"))
			_ = c.Close()
		}
	}
	for _, scheme := range []string{"http", "https"} {
		t.Run(scheme, func(t *testing.T) {
			s := httptest.NewUnstartedServer(http.HandlerFunc(status))
			if scheme == "https" {
				s.StartTLS()
			} else {
				s.Start()
			}
			defer s.Close()
			transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
			c := newClientOf(t, s.Listener.Addr().String(), Options{Scheme: scheme, HTTP: &http.Client{Transport: transport}})
			_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders/1"})
			assert.ErrorIs(t, err, responsehead.ErrInvalid)
			_, err = c.Stream(t.Context(), []byte("{}"))
			assert.ErrorIs(t, err, responsehead.ErrInvalid)
		})
	}
}

// Guards against a part of a response that looks complete because its connection was reset
// during the upload.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	c := newClientOf(t, responsetest.ServeReset(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"), Options{})
	body := bytes.Repeat([]byte("x"), uploadBytes)
	complete := 0
	for range uploads {
		if _, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders/1", Body: body}); err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d responses", uploads)
}
