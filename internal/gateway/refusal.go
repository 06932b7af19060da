package gateway

import (
	"errors"
	"net/http"
	"time"

	"rattantide/internal/problem"
)

// refusal is a final answer of our own. Statuses 429 and 503 promise that the
// request has not run and never will; the others promise nothing.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func refuse(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

func refuseFor(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// refusalOf translates what the dispatcher answered.
func refusalOf(err error) *refusal {
	var p *problem.Problem
	if !errors.As(err, &p) {
		return refuse(http.StatusBadGateway, err.Error())
	}
	status := p.Status
	if p.Ran == problem.RanNotRun && status != http.StatusTooManyRequests {
		status = http.StatusServiceUnavailable
	}
	return refuseFor(status, p.Detail, time.Duration(p.RetryAfterMs)*time.Millisecond)
}

// notRun reports whether the answer promises that the request did not run.
func (r *refusal) notRun() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}
