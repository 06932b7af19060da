package engineclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/retryafter"
)

// Causes that an engine reports with an error code. Test for them with errors.Is.
const (
	// ErrUnknownRequest means that the engine does not have the generation to
	// resume, cancel or export.
	ErrUnknownRequest = errors.ConstError("engine does not have the request")
	// ErrStaleFence means that the engine has accepted a newer fencing token.
	ErrStaleFence = errors.ConstError("stale fencing token")
)

// Error is a failed call to an engine.
type Error struct {
	// Status is the HTTP status, or 0 if no response was received.
	Status int
	// Code is the error code in the engine's response. It may be empty.
	Code string
	// NotRun is true if the call did not run: the connection could not be opened,
	// so that no byte was sent, or the engine reported it. It concerns this call
	// only; if a request could not be resumed, its earlier attempt did run.
	NotRun bool
	// Rejected is true if the engine found the request itself invalid, for example
	// with status 400. The call did not run either, but another engine would
	// reject it too. NotRun is false then, so that NotRun always means that
	// another attempt is worthwhile.
	Rejected bool
	// Draining is true if the engine announced that it is leaving.
	Draining bool
	// Backoff is how long the engine wants no further request; 0 if it does not ask for that.
	Backoff time.Duration
	// Body is the start of the engine's response, at most 4 KiB.
	Body []byte
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return "engine: " + e.Err.Error()
	}
	if e.Code != "" {
		return fmt.Sprintf("engine answered with status %d (%s)", e.Status, e.Code)
	}
	return fmt.Sprintf("engine answered with status %d", e.Status)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether the engine reported target as the cause.
func (e *Error) Is(target error) bool {
	switch target {
	case ErrUnknownRequest:
		return e.Code == "unknown_request"
	case ErrStaleFence:
		return e.Code == "stale_fence"
	}
	return false
}

// errorFromResponse returns the error for a response without a 2xx status.
func errorFromResponse(res *http.Response) *Error {
	e := &Error{Status: res.StatusCode, Draining: res.Header.Get("X-Draining") == "true"}
	if e.Status == http.StatusServiceUnavailable {
		e.Backoff = retryafter.Parse(res.Header)
	}
	// A truncated body is not an error here. It can hide the error code, but the
	// status remains valid.
	e.Body, _ = io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	var content struct {
		Error struct {
			Code any `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(e.Body, &content) == nil {
		e.Code, _ = content.Error.Code.(string)
	}
	// A 503 without X-Draining does not show that the call did not run: the
	// generation may have failed after it started.
	e.NotRun = e.Draining || e.Status == http.StatusTooManyRequests ||
		errors.Is(e, ErrUnknownRequest) || errors.Is(e, ErrStaleFence)
	e.Rejected = !e.NotRun && e.Status/100 == 4 && e.Status != http.StatusRequestTimeout
	return e
}
