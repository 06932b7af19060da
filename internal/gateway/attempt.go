package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/responsehead"
	"rattantide/internal/upstreamconn"
)

// attemptOutcome is the outcome of one attempt at an upstream.
type attemptOutcome struct {
	// isFinal reports whether the request is finished: the response was relayed, or
	// refusal is the response.
	isFinal bool
	// notSent reports whether the upstream did not receive the request.
	notSent bool
	// refusal is the response to the caller if no further attempt is made.
	refusal *refusal
}

// busyRetryAfter is the Retry-After delay if no upstream accepted the request.
const busyRetryAfter = 200 * time.Millisecond

// attempt sends the request to the chosen upstream and relays the response.
func (x *exchange) attempt(ctx context.Context, choice *dispatch.Choice) attemptOutcome {
	// Canceling the context closes the connection, which makes the upstream stop
	// processing the request.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &upstreamAttempt{exchange: x, choice: choice, sentAt: time.Now()}
	x.upstreamName, x.choice = choice.Upstream.Name, choice
	a.suspicion = x.startSuspicion(choice.Upstream.Name, func() { cancel(errQuarantined) })
	defer a.suspicion.end()
	response, err := x.server.opts.Conns.Do(ctx, choice.Upstream.Address, x.upstreamConnLimit(), x.upstreamRequest(choice))
	if err != nil {
		return a.handleError(ctx, err)
	}
	defer response.Body.Close()
	x.sends++
	return a.handleResponse(ctx, response)
}

func (x *exchange) upstreamConnLimit() int {
	if x.server.opts.ConnLimit == nil {
		return 0
	}
	return x.server.opts.ConnLimit(x.service)
}

// upstreamAttempt is an attempt in progress. It belongs to the goroutine of its
// exchange.
type upstreamAttempt struct {
	exchange *exchange
	choice   *dispatch.Choice
	sentAt   time.Time
	// firstEvent is the time from sentAt to the first event, or to the head of a
	// response that is not a stream.
	firstEvent  time.Duration
	lastEventAt time.Time
	// maxGap is the longest time between two arrivals of events.
	maxGap time.Duration
	events int
	// suspicion records whether the upstream is lost before the answer has begun.
	suspicion suspicion
}

// report passes the result of the attempt to the dispatcher.
func (a *upstreamAttempt) report(status dispatch.Status) {
	res := dispatch.Result{Status: status, FirstToken: a.firstEvent, Total: time.Since(a.sentAt), Tokens: a.events, MaxGap: a.maxGap}
	if a.events > 1 {
		res.MeanGap = (res.Total - a.firstEvent) / time.Duration(a.events-1)
	}
	a.choice.Done(res)
}

// handleError handles an attempt that got no response.
func (a *upstreamAttempt) handleError(ctx context.Context, err error) attemptOutcome {
	x := a.exchange
	var failure *upstreamconn.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		x.sends++
		x.mayHaveRun = true
	}
	x.reason = err.Error()
	status := dispatch.StatusRefused
	switch {
	case ctx.Err() != nil:
		return a.endInterrupted(ctx)
	case errors.Is(err, upstreamconn.ErrConnLimit), errors.Is(err, errUpstreamLimit):
		status = dispatch.StatusBusy
	case errors.Is(err, errUpstreamUnusable), errors.Is(err, errDraining):
		status = dispatch.StatusCanceled
	case errors.Is(err, responsehead.ErrInvalid):
		x.server.opts.Logger.Warn("upstream sent an invalid response", "request", x.call.AttemptID, "attempt", x.attempts,
			"upstream", a.choice.Upstream.Name, "version", a.choice.Version, "reason", x.reason)
		return a.handleInvalidResponse(ctx, x.reason)
	case sent:
		return a.endLost()
	default:
		x.connectFailures++
	}
	outcome := a.endExcluded(status)
	outcome.notSent = !sent
	return outcome
}

// endInterrupted ends an attempt whose deadline has passed, whose caller has disconnected,
// whose request is kept from upstreams, or whose daemon stops.
func (a *upstreamAttempt) endInterrupted(ctx context.Context) attemptOutcome {
	x := a.exchange
	if x.request.Context().Err() != nil {
		return a.endDisconnected(false)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errQuarantined):
		a.report(dispatch.StatusCanceled)
		return attemptOutcome{isFinal: true, refusal: newRefusal(http.StatusBadGateway, quarantineReason)}
	case errors.Is(cause, errStopping):
		a.report(dispatch.StatusCanceled)
		return attemptOutcome{isFinal: true, refusal: x.stoppedRefusal()}
	}
	a.report(dispatch.StatusTimeout)
	return attemptOutcome{isFinal: true, refusal: x.timeoutRefusal()}
}

// endLost ends an attempt whose upstream closed the connection before the response was
// complete, and logs what the request had in common with others that may be lost with it.
func (a *upstreamAttempt) endLost() attemptOutcome {
	x := a.exchange
	if x.wasPathLostSince(a.sentAt) {
		// The path was lost, so nothing is known of the upstream.
		return a.endExcluded(dispatch.StatusCanceled)
	}
	if a.events < begunEvents {
		a.suspicion.recordLost()
	}
	x.server.lostAttempts.Inc(1)
	x.server.opts.Logger.Warn("upstream lost during a request", "request", x.call.AttemptID, "attempt", x.attempts,
		"upstream", a.choice.Upstream.Name, "version", a.choice.Version, "events", a.events,
		"sharedParts", formatPartIDs(x.sharedParts), "key", strconv.FormatUint(x.key(), 16), "reason", x.reason)
	return a.endExcluded(dispatch.StatusCrash)
}

// endExcluded ends an attempt and excludes its upstream from further attempts.
func (a *upstreamAttempt) endExcluded(status dispatch.Status) attemptOutcome {
	x := a.exchange
	x.excluded = append(x.excluded, a.choice.Upstream.Name)
	a.report(status)
	return attemptOutcome{refusal: x.noResponseRefusal()}
}

// noResponseRefusal returns the refusal of a request to which no upstream
// responded.
func (x *exchange) noResponseRefusal() *refusal {
	if x.mayHaveRun {
		return newRefusal(http.StatusBadGateway, "no response from the upstream: "+x.reason)
	}
	return newRefusalWithRetry(http.StatusServiceUnavailable, "no upstream accepted the request: "+x.reason, busyRetryAfter)
}

// timeoutRefusal returns the refusal of a request whose deadline has passed.
func (x *exchange) timeoutRefusal() *refusal {
	if x.mayHaveRun {
		return newRefusal(http.StatusGatewayTimeout, "deadline exceeded before the response")
	}
	return newRefusal(http.StatusServiceUnavailable, "deadline exceeded before the request was started")
}

// handleResponse handles the head of a response.
func (a *upstreamAttempt) handleResponse(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	info := x.server.opts.Codec.DecodeResponse(response.Status, response.Header)
	x.upstreamFraming = response.Framing
	x.recordUpstreamLimit(a.choice.Upstream.Name, info)
	x.recordUpstreamState(a.choice.Upstream, info, x.isLate(response, info))
	if info.Load != nil && x.server.opts.Loads != nil && !info.Misdirected {
		x.server.opts.Loads.RecordLoad(a.choice.Upstream, *info.Load)
	}
	switch {
	case info.NotRun && x.isOwn(response, info):
		return a.handleNotRun(response, info)
	case info.AttemptID != x.call.AttemptID:
		return a.handleInvalidResponse(ctx, "response belongs to another request")
	case response.Status < 300 && !info.Signed:
		return a.handleInvalidResponse(ctx, "successful response without signature")
	}
	x.mayHaveRun = true
	if x.headSent && !x.continues(response) {
		return a.handleInvalidResponse(ctx, "response does not continue the stream: "+http.StatusText(response.Status))
	}
	if response.Status >= 500 || promisesNotRun(response.Status) {
		return a.handleFailure(ctx, response)
	}
	if x.route.Kind == fleetconfig.Stream && response.Status == http.StatusOK {
		return a.relayStream(ctx, response)
	}
	return a.relayResponse(ctx, response)
}

// isLate reports whether a response is one to an earlier request on the same connection.
func (x *exchange) isLate(response *upstreamconn.Response, info ResponseInfo) bool {
	return response.Reused && info.AttemptID != "" && info.AttemptID != x.call.AttemptID
}

// isOwn reports whether a refusal is that of this request. One that names no request can
// be a late one to an earlier request on the same connection.
func (x *exchange) isOwn(response *upstreamconn.Response, info ResponseInfo) bool {
	if info.AttemptID == "" {
		return !response.Reused
	}
	return info.AttemptID == x.call.AttemptID
}

// continues reports whether a response continues the stream whose head was sent to the
// caller.
func (x *exchange) continues(response *upstreamconn.Response) bool {
	const contentType = "Content-Type"
	return response.Status == http.StatusOK && response.Header.Get(contentType) == x.writer.Header().Get(contentType)
}

// handleNotRun handles a response that states that the request did not run.
func (a *upstreamAttempt) handleNotRun(response *upstreamconn.Response, info ResponseInfo) attemptOutcome {
	a.exchange.reason = "upstream refused the request: " + http.StatusText(response.Status)
	if info.Misdirected {
		return a.endExcluded(dispatch.StatusRefused)
	}
	return a.endExcluded(dispatch.StatusBusy)
}

// handleInvalidResponse handles a response that must not be relayed.
func (a *upstreamAttempt) handleInvalidResponse(ctx context.Context, reason string) attemptOutcome {
	x := a.exchange
	x.mayHaveRun = true
	x.reason = reason
	if ctx.Err() != nil {
		return a.endInterrupted(ctx)
	}
	return a.endExcluded(dispatch.StatusError)
}

// handleFailure handles a response with a status that blames the upstream. The response is
// relayed unless the request may be sent to another upstream.
func (a *upstreamAttempt) handleFailure(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	x.reason = "upstream responded with " + http.StatusText(response.Status)
	if x.route.Repeatable() && x.sends < x.route.MaxAttempts && x.hasTimeForRetry() {
		outcome := a.endExcluded(dispatch.StatusError)
		outcome.refusal = newRefusal(http.StatusBadGateway, x.reason)
		return outcome
	}
	if promisesNotRun(response.Status) {
		a.report(dispatch.StatusError)
		return attemptOutcome{isFinal: true, refusal: newRefusal(http.StatusBadGateway, x.reason)}
	}
	return a.relayResponse(ctx, response)
}

// hasTimeForRetry reports whether more than a quarter of the route's target is
// left before the deadline, or there is no deadline.
func (x *exchange) hasTimeForRetry() bool {
	return x.deadline.IsZero() || time.Until(x.deadline) > x.route.Target/4
}
