package runner

import (
	"net/http"
	"strconv"
	"time"
)

// SetLimit makes the responses name a limit of requests per second; 0 means none.
func (r *Runner) SetLimit(limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

// SetLeaving makes the responses state that the runner is about to stop, or not.
func (r *Runner) SetLeaving(isLeaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLeaving = isLeaving
}

// SetBackoff makes the runner refuse all requests, without executing them, with the given
// value of Retry-After; empty ends that.
func (r *Runner) SetBackoff(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoff = retryAfter
}

// Arrivals returns the requests for this runner that have reached it, in order.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// arrive records a request and adds what the runner states of itself to the header of the
// response. It returns the value of Retry-After if the request is to be refused.
func (r *Runner) arrive(id string, h http.Header) (retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{AttemptID: id, At: time.Now(), Backoff: r.backoff})
	if r.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', -1, 64))
	}
	if r.isLeaving {
		h.Set("Server-Leaving", "1")
	}
	return r.backoff
}
