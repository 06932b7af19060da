package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// drainRetryAfter is the Retry-After delay of requests that come too late to a draining
	// daemon. Other daemons serve them at once.
	drainRetryAfter = 100 * time.Millisecond
	// errDraining means that a daemon that is about to stop sends a request to no upstream.
	errDraining = errors.ConstError("the daemon stops before the request would end")
	// errStopping cancels the requests that are open when the daemon stops.
	errStopping = errors.ConstError("the daemon stops")
)

// Drain holds the times of a daemon that is about to stop.
type Drain struct {
	// AcceptUntil is until when callers may not know that they should use another daemon.
	AcceptUntil time.Time
	// EndAt is when requests in progress are ended.
	EndAt time.Time
}

// isTooLate reports whether a request must not be sent to an upstream any more, because it
// might still run when the daemon stops. A stream that has begun is continued, as it would
// be broken off otherwise.
func (x *exchange) isTooLate() bool {
	d := x.server.drain.Load()
	if d == nil || x.headSent {
		return false
	}
	return time.Now().After(d.AcceptUntil) && (x.deadline.IsZero() || x.deadline.After(d.EndAt))
}

// drainRefusal returns the refusal of a request that comes too late to a draining daemon, or
// nil.
func (x *exchange) drainRefusal() *refusal {
	switch {
	case !x.isTooLate():
		return nil
	case x.mayHaveRun:
		return newRefusal(http.StatusBadGateway, errDraining.Error()+"; after "+x.reason)
	}
	return localRefusal(errDraining.Error(), drainRetryAfter)
}

// stoppedRefusal returns the refusal of a request that was open when the daemon stopped.
func (x *exchange) stoppedRefusal() *refusal {
	if x.mayHaveRun {
		return newRefusal(http.StatusBadGateway, errStopping.Error())
	}
	return localRefusal(errStopping.Error(), drainRetryAfter)
}

// BeginDrain makes responses close their connections, and refuses requests that might not
// end before d.EndAt once d.AcceptUntil has passed. EndRequests is to be called at d.EndAt.
func (s *Server) BeginDrain(d Drain) { s.drain.Store(&d) }

// EndRequests ends the requests in progress: those whose answer has not begun are answered.
func (s *Server) EndRequests() { s.endRequests() }
