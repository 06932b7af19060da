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

// Problem is the body of every answer that is not a result.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Ran is empty on answers that are not about an upstream call.
	Ran       Ran    `json:"ran,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	// RetryAfterMs is the delay in milliseconds after which a retry is welcome;
	// 0 means that no advice is given.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists all validation findings of a refused object or request.
	Findings []findings.Finding `json:"findings,omitempty"`
}

// New returns a problem with the given status, code and detail.
func New(status int, code Code, detail string) *Problem {
	return &Problem{
		Type:   "urn:rattantide:problem:" + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}

// NotRun returns a refusal of a call that did not run.
func NotRun(status int, code Code, detail string) *Problem {
	p := New(status, code, detail)
	p.Ran = RanNotRun
	return p
}

// Unknown returns an answer to a call that may have run.
func Unknown(status int, code Code, detail string) *Problem {
	p := New(status, code, detail)
	p.Ran = RanUnknown
	return p
}

// WithRetryAfter sets the advised delay and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMs = d.Milliseconds()
	return p
}

// WithRequestID sets the request identifier and returns p.
func (p *Problem) WithRequestID(id string) *Problem {
	p.RequestID = id
	return p
}

// Error returns the code and detail, so that a Problem can travel as an error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// Write answers w with p.
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
