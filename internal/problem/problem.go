package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rattantide/internal/findings"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Problem is the body of every error response. It implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Execution states whether the request was executed. It is empty if the
	// problem is not about the execution of a call or a change.
	Execution Execution `json:"ran,omitempty"`
	RequestID string    `json:"requestId,omitempty"`
	// RetryAfterMs is the advised delay before a retry in milliseconds; 0 gives
	// no advice.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists all validation findings of a rejected object or request.
	Findings []findings.Finding `json:"findings,omitempty"`
}

// New returns a problem with the given HTTP status, code and detail.
func New(status int, code Code, detail string) *Problem {
	return &Problem{
		Type:   "urn:rattantide:problem:" + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}

// NewNotRun returns a problem for a call that was not executed.
func NewNotRun(status int, code Code, detail string) *Problem {
	p := New(status, code, detail)
	p.Execution = ExecutionNotRun
	return p
}

// NewExecutionUnknown returns a problem for a call that may have been executed.
func NewExecutionUnknown(status int, code Code, detail string) *Problem {
	p := New(status, code, detail)
	p.Execution = ExecutionUnknown
	return p
}

// WithRetryAfter sets the advised delay before a retry, rounded up to milliseconds, and
// returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMs = (d + time.Millisecond - 1).Milliseconds()
	return p
}

// WithRequestID sets the request ID and returns p.
func (p *Problem) WithRequestID(id string) *Problem {
	p.RequestID = id
	return p
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// Write writes p to w as the response, with the status of p. It sets the headers
// Retry-After, to RetryAfterMs rounded up to whole seconds, and X-Request-Id, to
// RequestID, unless these fields are unset.
func Write(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Del("Content-Length")
	if p.RequestID != "" {
		h.Set("X-Request-Id", p.RequestID)
	}
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
