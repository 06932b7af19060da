package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/callerbudget"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/forwardheader"
	"rattantide/internal/membership"
	"rattantide/internal/upstreamconn"
)

// isPathLost reports whether this daemon reaches no upstream that may serve the request.
func (x *exchange) isPathLost() bool {
	paths := x.server.opts.Paths
	return paths != nil && paths.IsLost(x.service.Name)
}

// wasPathLostSince reports whether an attempt that began at a time may have failed for want of
// a path, so that its failure says nothing of the upstream.
func (x *exchange) wasPathLostSince(at time.Time) bool {
	paths := x.server.opts.Paths
	return paths != nil && paths.WasLostSince(x.service.Name, at)
}

// forward sends the request to another daemon and relays its response, which is final unless
// that daemon does not help. A request that was forwarded to this daemon goes no further.
func (x *exchange) forward(ctx context.Context) attemptOutcome {
	if x.forwarded != nil {
		return attemptOutcome{isFinal: true, refusal: x.noHelpRefusal("this daemon reaches no upstream either")}
	}
	f := x.server.opts.Forwarder
	helper, done, ok := f.Choose(x.service.Name, x.excluded)
	if !ok {
		return attemptOutcome{isFinal: true, refusal: x.noHelpRefusal("no daemon reaches the upstreams")}
	}
	defer done()
	x.server.scope.Counter("forwarded").Inc(1)
	// The helping daemon counts the request for its workspace.
	x.usageCounted = true
	choice := &dispatch.Choice{Upstream: membership.Upstream{Name: helper.Name, Address: helper.Address}, Done: func(dispatch.Result) {}}
	a := &upstreamAttempt{exchange: x, choice: choice, sentAt: time.Now()}
	x.upstreamName, x.choice = helper.Name, choice
	response, err := f.Conns.Do(ctx, helper.Address, 0, x.forwardedRequest())
	if err != nil {
		return a.handleError(ctx, err)
	}
	defer response.Body.Close()
	if response.Header.Get(forwardheader.NotHelped) != "" {
		x.reason = "daemon " + helper.Name + " does not help"
		outcome := a.endExcluded(dispatch.StatusRefused)
		outcome.notSent = true
		return outcome
	}
	return a.relayForwarded(ctx, response)
}

// relayForwarded relays the response of the daemon that served the request.
func (a *upstreamAttempt) relayForwarded(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	x.sends++
	x.upstreamFraming = response.Framing
	if promisesNotRun(response.Status) && !x.mayHaveRun {
		x.returnQuota()
		return a.relayResponse(ctx, response)
	}
	if promisesNotRun(response.Status) {
		return attemptOutcome{isFinal: true, refusal: x.noResponseRefusal()}
	}
	x.mayHaveRun = true
	if x.headSent && !x.continues(response) {
		return a.handleInvalidResponse(ctx, "response does not continue the stream: "+http.StatusText(response.Status))
	}
	if x.route.Kind == fleetconfig.Stream && response.Status == http.StatusOK {
		return a.relayStream(ctx, response)
	}
	return a.relayResponse(ctx, response)
}

// forwardedRequest returns the request to another daemon: that of the caller, with the time
// that is left.
func (x *exchange) forwardedRequest() *upstreamconn.Request {
	header := withoutHopByHopHeaders(x.request.Header)
	a := Attempt{LastEventID: x.lastEventID}
	if !x.deadline.IsZero() {
		a.Remaining, a.HasDeadline = time.Until(x.deadline), true
	}
	x.server.opts.Codec.EncodeForward(header, a)
	f := forwarded{by: x.server.opts.Forwarder.Name, caller: callerbudget.AddressOf(x.request.RemoteAddr), config: x.config.Version, sends: x.sends}
	f.encode(header)
	return &upstreamconn.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body, HasBody: x.hasBody, MaySend: x.mayForward,
	}
}

// mayForward returns an error if the request may not be sent to another daemon any more.
func (x *exchange) mayForward() error {
	if x.isTooLate() {
		return errors.Trace(errDraining)
	}
	return nil
}

// noHelpRefusal returns the refusal of a request for which no path to an upstream is known.
func (x *exchange) noHelpRefusal(reason string) *refusal {
	if x.mayHaveRun {
		return newRefusal(http.StatusBadGateway, reason+"; after "+x.reason)
	}
	return localRefusal(reason, noHelpRetryAfter)
}
