package client

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"
)

// chatPath is where chat completions are sent.
const chatPath = "/v1/chat/completions"

// attempts tracks the calls made for one request.
type attempts struct {
	id    string
	count int
	// sent says that a byte of some call may have reached a daemon without a
	// statement that the request was not run.
	sent bool
	// last is the problem that the last call was answered with, nil when it was
	// not answered; told is the last problem of any call.
	last, told *Error
	err        error
}

func (a *attempts) failure() *Error {
	if a.told != nil {
		e := *a.told
		e.Err = a.err
		if a.sent && e.Ran == RanNotRun {
			e.Ran = RanUnknown
		}
		return &e
	}
	e := &Error{RequestID: a.id, Ran: RanNotRun, Detail: "no daemon answered", Err: a.err}
	if a.sent {
		e.Ran = RanUnknown
	}
	return e
}

// Do sends a request and returns its whole answer. It is repeated, at other
// daemons if need be, while that cannot execute it twice. Any failure is an
// *Error that says whether the request was executed.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	a := &attempts{id: r.ID}
	method, path, body := r.Method, r.Path, r.Body
	chat := r.Path == chatPath
	for round := 0; ; round++ {
		advised := time.Duration(0)
		for _, address := range c.Entries(ctx) {
			if a.count >= c.options.Attempts || ctx.Err() != nil {
				return nil, a.ended(ctx)
			}
			a.count++
			response, retry := c.attempt(ctx, a, r, method, address, path, body)
			if response != nil {
				return response, nil
			}
			if !retry {
				return nil, a.failure()
			}
			if a.last != nil {
				advised = a.last.RetryAfter
			}
			switch {
			case chat && a.sent && (a.last == nil || a.last.Status != http.StatusNotFound):
				// The request may be held somewhere; asking for it is cheaper than
				// sending it again, and finds it wherever it is.
				method, path, body = http.MethodGet, "/v1/requests/"+url.PathEscape(r.ID), nil
			default:
				method, path, body = r.Method, r.Path, r.Body
			}
		}
		if c.wait(ctx, round, advised) != nil {
			return nil, a.ended(ctx)
		}
	}
}

func (a *attempts) ended(ctx context.Context) *Error {
	e := a.failure()
	if err := context.Cause(ctx); err != nil {
		e.Err = err
	}
	return e
}

// attempt makes one call and follows it to the daemon that holds the request.
// Without a response, retry says whether the request may be repeated.
func (c *Client) attempt(ctx context.Context, a *attempts, r Request, method, address, path string, body []byte) (*Response, bool) {
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
			c.directory.report(address, false)
			a.sent, a.err, a.last = a.sent || sent, err, nil
			return nil, true
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			c.directory.report(address, false)
			a.sent, a.err, a.last = true, err, nil
			return nil, true
		}
		c.directory.report(address, true)
		if next := successor(response, path); next != "" {
			a.sent = true
			method, address, path, body = http.MethodGet, next, "/v1/requests/"+url.PathEscape(r.ID), nil
			continue
		}
		problem := decodeError(response, answer, r.ID)
		if problem == nil {
			return &Response{Status: response.StatusCode, Header: response.Header, Body: answer, RequestID: r.ID}, false
		}
		return nil, c.refused(a, problem, path)
	}
	return nil, true
}

// refused notes a problem and reports whether the request may be repeated.
func (c *Client) refused(a *attempts, e *Error, path string) bool {
	a.last, a.told = e, e
	if len(e.Entries) > 0 {
		c.directory.set(e.Entries, time.Time{})
	}
	query := path == "/v1/requests/"+url.PathEscape(a.id)
	switch {
	case e.Code == "duplicate_request_id" && a.sent:
		// The daemon has the request from a call whose answer was lost.
		return true
	case query && e.Status == http.StatusNotFound:
		return true
	case e.Ran == RanNotRun && (e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests):
		return true
	case path == chatPath && e.Code == "leaving" && e.Ran == RanUnknown:
		// The daemon ended while it held the request; another one has a copy.
		a.sent = true
		return true
	case query && e.Status == http.StatusServiceUnavailable, query && e.Status == http.StatusBadGateway && e.Code == "upstream_failed" && e.Ran == "":
		return true
	}
	return false
}

// successor returns the daemon to which a response sends the caller of a chat
// completion.
func successor(response *http.Response, path string) string {
	if response.StatusCode != http.StatusSeeOther || path != chatPath && !isQuery(path) {
		return ""
	}
	location, err := response.Location()
	if err != nil {
		return ""
	}
	return location.Host
}

func isQuery(path string) bool { return len(path) > 13 && path[:13] == "/v1/requests/" }
