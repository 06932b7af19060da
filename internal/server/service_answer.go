package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/responsehead"
	"rattantide/internal/retryafter"
)

// serviceAnswer is the outcome of one attempt at a plain service. close must be
// called to release its resources.
type serviceAnswer struct {
	choice       *dispatch.Choice
	startedAt    time.Time
	timeToHeader time.Duration
	cancel       context.CancelFunc
	timeout      *time.Timer
	// response is nil if no header was received or the call did not run.
	response *http.Response
	// notRun is true if no byte was sent, or if the upstream reported that it
	// did not run the call.
	notRun   bool
	draining bool
	// backoff is how long the upstream wants no further request.
	backoff time.Duration
	stalled bool
	err     error
}

// callService makes one attempt and waits for the header of the response. Failures
// are stored in the returned serviceAnswer, which is never nil.
func (s *Server) callService(ctx context.Context, client *http.Client, c *serviceCall, choice *dispatch.Choice) *serviceAnswer {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := s.options.progressTimeoutsFor(c.class).firstEvent
	a := &serviceAnswer{choice: choice, startedAt: time.Now(), cancel: func() { cancel(nil) }}
	a.timeout = time.AfterFunc(limit, func() { cancel(errStalled) })
	// Once the call has a connection, bytes may have been sent.
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.outgoing(traced, choice)
	if err != nil {
		a.notRun, a.err = true, err
		return a
	}
	response, err := client.Do(request)
	a.timeout.Stop()
	if err != nil {
		a.notRun, a.err = !connected.Load(), err
		a.stalled = errors.Is(context.Cause(ctx), errStalled)
		return a
	}
	a.timeToHeader = time.Since(a.startedAt)
	if response.StatusCode == http.StatusServiceUnavailable {
		a.backoff = retryafter.Parse(response.Header)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Draining") == "true" {
		response.Body.Close()
		a.notRun, a.draining = true, true
		a.err = errors.New("upstream refused the call because it is draining")
		return a
	}
	a.response = response
	return a
}

// outgoing builds the request to the upstream. The caller's bearer token is not
// forwarded.
func (c *serviceCall) outgoing(ctx context.Context, choice *dispatch.Choice) (*http.Request, error) {
	in := c.request
	target := "http://" + choice.Upstream.Address + in.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, in.Method, target, nil)
	if err != nil {
		return nil, err
	}
	if len(c.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
		request.ContentLength = int64(len(c.body))
		if !c.atMostOnce {
			request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.body)), nil }
		}
	}
	copyHeader(request.Header, in.Header)
	request.Header.Del("Authorization")
	request.Header.Del("Accept-Encoding")
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("X-Attempt", strconv.Itoa(c.attempt))
	request.Header.Set("X-Workspace", c.workspace)
	if c.atMostOnce {
		request.Header.Set("Idempotency-Key", c.key)
	}
	return request, nil
}

// close releases the attempt's resources and reports r to the chooser. An empty
// r.Status is derived from the failure.
func (a *serviceAnswer) close(r dispatch.Result) {
	a.timeout.Stop()
	if a.response != nil {
		a.response.Body.Close()
	}
	a.cancel()
	if r.Status == "" {
		r.Status = a.status()
	}
	r.FirstToken, r.Total, r.Draining, r.Backoff = a.timeToHeader, time.Since(a.startedAt), a.draining, a.backoff
	a.choice.Done(r)
}

func (a *serviceAnswer) status() dispatch.Status {
	switch {
	case a.notRun:
		return dispatch.StatusRefused
	case a.stalled:
		return dispatch.StatusTimeout
	case errors.Is(a.err, context.Canceled), errors.Is(a.err, context.DeadlineExceeded):
		return dispatch.StatusCanceled
	case errors.Is(a.err, responsehead.ErrInvalid):
		return dispatch.StatusError
	}
	return dispatch.StatusCrash
}

// upstreamBody reads a response's body and stores a read error, so that failures of
// the upstream can be distinguished from failures to write to the caller.
type upstreamBody struct {
	source  io.Reader
	readErr error
}

// Read implements io.Reader.
func (b *upstreamBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	return n, err
}

// newServiceClient returns a client that does not follow redirects, so that they
// are forwarded to the caller.
func newServiceClient(transport *responsehead.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
