package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Execution states whether a request was executed.
type Execution string

// The values of Execution. ExecutionDone means that the request was executed,
// ExecutionNotRun that it was certainly not, and ExecutionUnknown that it may have
// been.
const (
	ExecutionDone    Execution = "done"
	ExecutionNotRun  Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
)

// Error is the error of a request for which no result was received.
type Error struct {
	// Status is the HTTP status, or 0 if no daemon responded.
	Status int `json:"status"`
	// Code is the stable code of the problem, or empty.
	Code string `json:"code"`
	// Detail describes the problem for humans.
	Detail string `json:"detail"`
	// Execution is ExecutionNotRun only if the request was certainly not executed.
	Execution Execution `json:"ran"`
	RequestID string    `json:"requestId"`
	// RetryAfter is the delay advised before a retry, or 0.
	RetryAfter time.Duration `json:"-"`
	// Err is the last transport error, or the cause for which the context of the
	// request ended, or nil.
	Err error `json:"-"`

	// RetryAfterMs is RetryAfter in milliseconds, as received.
	RetryAfterMs int64 `json:"retryAfterMs"`
	// Entries are the daemons to use instead if the one that responded is leaving.
	Entries []Entry `json:"entries"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("request %s: ran %s", e.RequestID, e.Execution)
	if e.Code != "" {
		text += ": " + e.Code
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns e.Err.
func (e *Error) Unwrap() error { return e.Err }

// decodeError decodes a problem. It returns nil if the body is not a problem, for
// example an error page of an upstream.
func decodeError(response *http.Response, body []byte, id string) *Error {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		return nil
	}
	e := &Error{}
	if json.Unmarshal(body, e) != nil || e.Code == "" {
		return nil
	}
	e.Status, e.RetryAfter = response.StatusCode, time.Duration(e.RetryAfterMs)*time.Millisecond
	if e.RequestID == "" {
		e.RequestID = id
	}
	if e.Execution == "" {
		e.Execution = ExecutionUnknown
	}
	return e
}
