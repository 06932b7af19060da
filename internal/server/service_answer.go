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
)

// serviceAnswer is what came of one attempt at a plain service.
type serviceAnswer struct {
	choice  *dispatch.Choice
	begun   time.Time
	first   time.Duration
	cancel  context.CancelFunc
	timeout *time.Timer
	// response is nil when nothing was answered or the call was not run.
	response *http.Response
	// notRun says that no byte was sent, or that the upstream itself said that
	// it did not run the call.
	notRun   bool
	draining bool
	silent   bool
	err      error
}

// callService makes one attempt and waits for the header of the response.
func (s *Server) callService(ctx context.Context, client *http.Client, c *serviceCall, choice *dispatch.Choice) *serviceAnswer {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := s.options.limitsFor(c.class).first
	a := &serviceAnswer{choice: choice, begun: time.Now(), cancel: func() { cancel(nil) }}
	a.timeout = time.AfterFunc(limit, func() { cancel(errSilent) })
	// Once a connection is handed to the call, bytes may have been sent.
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
		a.silent = errors.Is(context.Cause(ctx), errSilent)
		return a
	}
	a.first = time.Since(a.begun)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Draining") == "true" {
		response.Body.Close()
		a.notRun, a.draining = true, true
		a.err = errors.New("the upstream is draining")
		return a
	}
	a.response = response
	return a
}

// outgoing builds the request to the upstream. The caller's token stays here.
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
		if !c.once {
			request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.body)), nil }
		}
	}
	copyHeader(request.Header, in.Header)
	request.Header.Del("Authorization")
	request.Header.Del("Accept-Encoding")
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("X-Attempt", strconv.Itoa(c.attempt))
	request.Header.Set("X-Workspace", c.workspace)
	if c.once {
		request.Header.Set("Idempotency-Key", c.key)
	}
	return request, nil
}

// close ends the attempt and reports it to the chooser.
func (a *serviceAnswer) close(r dispatch.Result) {
	a.timeout.Stop()
	if a.response != nil {
		a.response.Body.Close()
	}
	a.cancel()
	if r.Status == "" {
		r.Status = a.status()
	}
	r.FirstToken, r.Total, r.Draining = a.first, time.Since(a.begun), a.draining
	a.choice.Done(r)
}

func (a *serviceAnswer) status() dispatch.Status {
	switch {
	case a.notRun:
		return dispatch.StatusRefused
	case a.silent:
		return dispatch.StatusTimeout
	case errors.Is(a.err, context.Canceled), errors.Is(a.err, context.DeadlineExceeded):
		return dispatch.StatusCanceled
	}
	return dispatch.StatusCrash
}

// answerBody reads a response's body and tells failures of the upstream from
// those of the caller.
type answerBody struct {
	source io.Reader
	failed error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF {
		b.failed = err
	}
	return n, err
}

// newServiceClient returns a client that passes redirects on to the caller.
func newServiceClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
