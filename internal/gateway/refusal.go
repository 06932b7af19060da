package gateway

import (
	"errors"
	"net/http"
	"time"

	"rattantide/internal/problem"
)

// refusal is a final response that the gateway generates itself. Statuses 429 and
// 503 promise that the request has not run and never will; other statuses promise
// nothing.
type refusal struct {
	status int
	// reason is logged but not sent to the caller.
	reason string
	// retryAfter is the Retry-After delay; 0 means that none is sent.
	retryAfter time.Duration
	// isLocal reports whether another daemon may serve the request at once.
	isLocal bool
}

func newRefusal(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

func newRefusalWithRetry(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// localRefusal returns the refusal of a request that another daemon may serve at once.
func localRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, isLocal: true}
}

// refusalFromError returns the refusal for an error of the dispatcher.
func refusalFromError(err error) *refusal {
	var p *problem.Problem
	if !errors.As(err, &p) {
		return newRefusal(http.StatusBadGateway, err.Error())
	}
	status := p.Status
	if p.Execution == problem.ExecutionNotRun && status != http.StatusTooManyRequests {
		status = http.StatusServiceUnavailable
	}
	return newRefusalWithRetry(status, p.Detail, time.Duration(p.RetryAfterMs)*time.Millisecond)
}

// promisesNotRun reports whether a status promises the caller that the request did not run.
// It must not be sent for a request that may have run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
