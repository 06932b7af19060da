package client

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"
)

// chatPath is the path of chat completions.
const chatPath = "/v1/chat/completions"

// attemptState is the state of one request over all its calls.
type attemptState struct {
	id string
	// count is the number of calls made; for a stream, since its last event.
	count int
	// maybeReceived is set when data of a call may have reached a daemon that did
	// not report the request as not run.
	maybeReceived bool
	// callProblem is the problem returned by the last call, or nil if that call
	// got no response. lastProblem is the last problem returned by any call.
	callProblem, lastProblem *Error
	// err is the last transport error.
	err error
}

// newError returns the error of a request that failed. Its Execution is
// ExecutionUnknown instead of ExecutionNotRun if a daemon may have received the request.
func (a *attemptState) newError() *Error {
	if a.lastProblem != nil {
		e := *a.lastProblem
		e.Err = a.err
		if a.maybeReceived && e.Execution == ExecutionNotRun {
			e.Execution = ExecutionUnknown
		}
		return &e
	}
	e := &Error{RequestID: a.id, Execution: ExecutionNotRun, Detail: "no daemon responded", Err: a.err}
	if a.maybeReceived {
		e.Execution = ExecutionUnknown
	}
	return e
}

// Do sends a request and returns its whole response. It retries, at other daemons
// if necessary, as long as that cannot execute the request twice. Every failure is
// an *Error, whose Execution states whether the request was executed. A response
// that is not a problem of the system, such as an error page of an upstream, is
// returned as a Response whatever its status.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	a := &attemptState{id: r.ID}
	method, path, body := r.Method, r.Path, r.Body
	isChat := r.Path == chatPath
	for round := 0; ; round++ {
		retryAfter := time.Duration(0)
		for _, address := range c.Entries(ctx) {
			if a.count >= c.options.Attempts || ctx.Err() != nil {
				return nil, a.newContextError(ctx)
			}
			a.count++
			response, retry := c.attempt(ctx, a, r, method, address, path, body)
			if response != nil {
				return response, nil
			}
			if !retry {
				return nil, a.newError()
			}
			if a.callProblem != nil {
				retryAfter = a.callProblem.RetryAfter
			}
			switch {
			case isChat && a.maybeReceived && (a.callProblem == nil || a.callProblem.Status != http.StatusNotFound):
				// A daemon may have the request. Querying its result is cheaper than
				// sending it again, and any daemon can find it.
				method, path, body = http.MethodGet, "/v1/requests/"+url.PathEscape(r.ID), nil
			default:
				method, path, body = r.Method, r.Path, r.Body
			}
		}
		if c.wait(ctx, round, retryAfter) != nil {
			return nil, a.newContextError(ctx)
		}
	}
}

// newContextError is like newError, but sets Err to the cause of ctx if ctx has ended.
func (a *attemptState) newContextError(ctx context.Context) *Error {
	e := a.newError()
	if err := context.Cause(ctx); err != nil {
		e.Err = err
	}
	return e
}

// attempt makes one call and follows redirects to the daemon that has the request.
// Without a response, it reports whether the request may be retried.
func (c *Client) attempt(ctx context.Context, a *attemptState, r Request, method, address, path string, body []byte) (*Response, bool) {
	for range c.options.Attempts {
		request, err := c.newRequest(ctx, method, address, path, body)
		if err != nil {
			a.err = err
			return nil, false
		}
		if r.Path == chatPath {
			request.Header.Set("Content-Type", "application/json")
		}
		for name, values := range r.Header {
			request.Header[name] = values
		}
		request.Header.Set("X-Request-Id", r.ID)
		if key := r.IdempotencyKey; method != http.MethodGet && path != chatPath {
			if key == "" {
				key = r.ID
			}
			request.Header.Set("Idempotency-Key", key)
		}
		response, sent, err := c.send(request)
		if err != nil {
			c.directory.recordResult(address, false)
			a.maybeReceived, a.err, a.callProblem = a.maybeReceived || sent, err, nil
			return nil, true
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			c.directory.recordResult(address, false)
			a.maybeReceived, a.err, a.callProblem = true, err, nil
			return nil, true
		}
		c.directory.recordResult(address, true)
		if next := redirectTarget(response, path); next != "" {
			a.maybeReceived = true
			method, address, path, body = http.MethodGet, next, "/v1/requests/"+url.PathEscape(r.ID), nil
			continue
		}
		problem := decodeError(response, content, r.ID)
		if problem == nil {
			return &Response{Status: response.StatusCode, Header: response.Header, Body: content, RequestID: r.ID}, false
		}
		return nil, c.recordProblem(a, problem, path)
	}
	return nil, true
}

// recordProblem records a problem returned for a call to path and reports whether
// the request may be retried.
func (c *Client) recordProblem(a *attemptState, e *Error, path string) bool {
	a.callProblem, a.lastProblem = e, e
	if len(e.Entries) > 0 {
		c.directory.setEntries(e.Entries, time.Time{})
	}
	isQuery := path == "/v1/requests/"+url.PathEscape(a.id)
	switch {
	case e.Code == "duplicate_request_id" && a.maybeReceived:
		// The daemon has the request from a call whose response was lost.
		return true
	case isQuery && e.Status == http.StatusNotFound:
		return true
	case e.Execution == ExecutionNotRun && (e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests):
		return true
	case path == chatPath && e.Code == "leaving" && e.Execution == ExecutionUnknown:
		// The daemon ended while it had the request; another one has a copy.
		a.maybeReceived = true
		return true
	case isQuery && e.Status == http.StatusServiceUnavailable, isQuery && e.Status == http.StatusBadGateway && e.Code == "upstream_failed" && e.Execution == "":
		return true
	}
	return false
}

// redirectTarget returns the address of the daemon to which the caller of a chat
// completion is redirected, or "" if response is not such a redirect.
func redirectTarget(response *http.Response, path string) string {
	if response.StatusCode != http.StatusSeeOther || path != chatPath && !isStatusQuery(path) {
		return ""
	}
	location, err := response.Location()
	if err != nil {
		return ""
	}
	return location.Host
}

// isStatusQuery reports whether path is that of a query for a request.
func isStatusQuery(path string) bool { return len(path) > 13 && path[:13] == "/v1/requests/" }
