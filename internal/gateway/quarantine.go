package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/quarantine"
)

const (
	// begunEvents is the number of events after which the upstream has survived the
	// beginning of an answer.
	begunEvents = 2
	// suspendedRetryAfter is about the time in which a suspected part of a prompt is tried.
	suspendedRetryAfter = time.Second
	// quarantineReason is the logged reason of refused requests.
	quarantineReason = "the request or a part of its prompt crashes upstreams"
	// errQuarantined cancels an attempt whose request is kept from upstreams.
	errQuarantined = errors.ConstError(quarantineReason)
)

// quarantineRefusal returns the refusal of a request that must not be sent to an upstream
// because it or a part of its prompt crashes upstreams, or nil.
func (x *exchange) quarantineRefusal() *refusal {
	retryAfter := suspendedRetryAfter
	decision := x.server.opts.PromptQuarantine.Check(x.sharedParts, x.mayHaveRun)
	if byRequest := x.server.opts.RequestQuarantine.Check([]uint64{x.key()}, x.mayHaveRun); byRequest > decision {
		decision, retryAfter = byRequest, quarantine.WholeRequests.TrialDelay
	}
	switch {
	case decision == quarantine.Allow:
		return nil
	case x.mayHaveRun:
		return newRefusal(http.StatusBadGateway, quarantineReason)
	}
	x.returnQuota()
	if decision == quarantine.RefuseForNow {
		return newRefusalWithRetry(http.StatusServiceUnavailable, "the request or a part of its prompt is suspected to crash upstreams", retryAfter)
	}
	// The same request would be refused everywhere, so callers are not told to repeat it.
	return newRefusal(http.StatusUnprocessableEntity, quarantineReason)
}

// suspicion records whether an upstream is lost during an attempt, against the shared parts
// of the prompt and against the whole request.
type suspicion struct{ prompt, request *quarantine.Attempt }

// startSuspicion begins the suspicion of an attempt at an upstream. cancel is called if the
// request turns out to crash upstreams.
func (x *exchange) startSuspicion(upstream string, cancel func()) suspicion {
	o := x.server.opts
	return suspicion{
		prompt:  o.PromptQuarantine.Start(upstream, x.sharedParts, cancel),
		request: o.RequestQuarantine.Start(upstream, []uint64{x.key()}, cancel),
	}
}

// recordBegun records that the answer has begun and the upstream goes on writing it.
func (s suspicion) recordBegun() {
	s.prompt.RecordBegun()
	s.request.RecordBegun()
}

// recordFailed records that the upstream has answered with a whole error: the request has
// not ended it, but little is known of the parts of the prompt.
func (s suspicion) recordFailed() { s.request.RecordBegun() }

// recordLost records that the connection was lost before the answer had begun.
func (s suspicion) recordLost() {
	s.prompt.RecordLost()
	s.request.RecordLost()
}

// end ends the suspicion without evidence if there was none.
func (s suspicion) end() {
	s.prompt.End()
	s.request.End()
}
