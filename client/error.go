package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Ran says whether a request was executed.
type Ran string

// What may be known of a request that was not answered.
const (
	RanDone    Ran = "done"
	RanNotRun  Ran = "not_run"
	RanUnknown Ran = "unknown"
)

// Error is a request that was not answered with its result.
type Error struct {
	// Status is the HTTP status, or 0 when no daemon answered.
	Status int `json:"status"`
	// Code is the system's stable code of the problem, or empty.
	Code   string `json:"code"`
	Detail string `json:"detail"`
	// Ran is RanNotRun only if it is certain that the request was not executed.
	Ran       Ran    `json:"ran"`
	RequestID string `json:"requestId"`
	// RetryAfter is the advised delay, or 0.
	RetryAfter time.Duration `json:"-"`
	// Err is the last transport error, if any.
	Err error `json:"-"`

	RetryAfterMs int64   `json:"retryAfterMs"`
	Entries      []Entry `json:"entries"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("request %s: ran %s", e.RequestID, e.Ran)
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

// Unwrap returns the transport error.
func (e *Error) Unwrap() error { return e.Err }

// decodeError reads a problem; it returns nil when the body is something else,
// such as an upstream's own error page.
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
	if e.Ran == "" {
		e.Ran = RanUnknown
	}
	return e
}
