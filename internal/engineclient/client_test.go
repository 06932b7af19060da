package engineclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
)

// TestErrorReportsWhetherCallRan guards against a call that is reported as not run
// although the engine may have received it, and against a call that is reported as
// possibly run although it was not.
func TestErrorReportsWhetherCallRan(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedAddress := closed.Addr().String()
	assert.NilError(t, closed.Close())
	respond := func(status int, header, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set(header, "true")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		status   int
		notRun   bool
		draining bool
		cause    error
	}{
		"refused connection":  {nil, 0, true, false, nil},
		"lost connection":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false, false, nil},
		"failed":              {respond(500, "", ""), 500, false, false, nil},
		"unavailable":         {respond(503, "", ""), 503, false, false, nil},
		"draining":            {respond(503, "X-Draining", ""), 503, true, true, nil},
		"invalid":             {respond(400, "", ""), 400, false, false, nil},
		"queue full":          {respond(429, "", `{"error":{"code":429}}`), 429, true, false, nil},
		"unknown request":     {respond(404, "", `{"error":{"code":"unknown_request"}}`), 404, true, false, engineclient.ErrUnknownRequest},
		"stale fencing token": {respond(409, "", `{"error":{"code":"stale_fence"}}`), 409, true, false, engineclient.ErrStaleFence},
	} {
		t.Run(name, func(t *testing.T) {
			address := closedAddress
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				address = strings.TrimPrefix(server.URL, "http://")
			}
			client := engineclient.New(nil)
			defer client.CloseIdleConnections()
			_, err := client.Stream(t.Context(), engineclient.StreamRequest{Address: address, RequestID: "r", Body: []byte(`{}`)})
			var callErr *engineclient.Error
			assert.Assert(t, errors.As(err, &callErr), err)
			assert.Equal(t, callErr.Status, c.status)
			assert.Equal(t, callErr.NotRun, c.notRun)
			assert.Equal(t, callErr.Rejected, c.status == 400)
			assert.Equal(t, callErr.Draining, c.draining)
			if c.cause != nil {
				assert.ErrorIs(t, err, c.cause)
			}
		})
	}
}

// TestCanceledCallMayHaveRun guards against a cancelled call that is reported as not
// run although its bytes were sent.
func TestCanceledCallMayHaveRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := engineclient.New(nil)
	defer client.CloseIdleConnections()
	_, err := client.Stream(ctx, engineclient.StreamRequest{Address: strings.TrimPrefix(server.URL, "http://"), RequestID: "r", Body: []byte(`{}`)})
	var callErr *engineclient.Error
	assert.Assert(t, errors.As(err, &callErr) && !callErr.NotRun, err)
	assert.ErrorIs(t, err, context.Canceled)
}
