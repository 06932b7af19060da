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
	// suspendedRetryAfter is about the time in which a suspected part is tried.
	suspendedRetryAfter = time.Second
	// quarantineReason is the logged reason of refused requests.
	quarantineReason = "a part of the prompt crashes upstreams"
	// errQuarantined cancels an attempt whose request is kept from upstreams.
	errQuarantined = errors.ConstError(quarantineReason)
)

// quarantineRefusal returns the refusal of a request that must not be sent to an upstream
// because of a part of its prompt, or nil.
func (x *exchange) quarantineRefusal() *refusal {
	decision := x.server.opts.Quarantine.Check(x.sharedParts, x.mayHaveRun)
	switch {
	case decision == quarantine.Allow:
		return nil
	case x.mayHaveRun:
		return newRefusal(http.StatusBadGateway, quarantineReason)
	}
	x.returnQuota()
	if decision == quarantine.RefuseForNow {
		return newRefusalWithRetry(http.StatusServiceUnavailable, "a part of the prompt is suspected to crash upstreams", suspendedRetryAfter)
	}
	// The same request would be refused everywhere, so callers are not told to repeat it.
	return newRefusal(http.StatusUnprocessableEntity, quarantineReason)
}
