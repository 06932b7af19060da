package gateway

import (
	"context"
	"net/http"
	"time"

	"rattantide/internal/callerbody"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/framing"
)

// exchange is the state of one request of a caller. It belongs to one goroutine.
type exchange struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	receivedAt time.Time
	// forwarded is set if another daemon forwarded the request to this one.
	forwarded *forwarded

	call      Call
	config    *fleetconfig.Config
	configAge time.Duration
	route     *fleetconfig.Route
	service   *fleetconfig.Service
	workspace *fleetconfig.Workspace
	// deadline is zero if neither the caller nor the route sets one.
	deadline time.Time
	body     []byte
	hasBody  bool
	// bodyRead reports whether reading the body was tried, and held is what the request
	// holds of the budget for callers since then.
	bodyRead bool
	held     *callerbody.Body
	// sharedParts are the parts of the prompt that other prompts may contain too.
	sharedParts []uint64
	// key returns the key of the request, which is computed when it is first needed. It is
	// safe for concurrent use.
	key func() uint64
	// quotaCost is the cost that is charged to the workspace's quota.
	quotaCost float64

	// attempts counts the choices of an upstream, sends the attempts that sent the
	// request, and connectFailures the attempts that could not connect.
	attempts        int
	sends           int
	connectFailures int
	// mayHaveRun reports whether an upstream may have started to run the request.
	mayHaveRun   bool
	usageCounted bool
	// excluded names the upstreams that must not be chosen again.
	excluded []string
	// upstreamName is the upstream of the last attempt.
	upstreamName string
	// choice is that of the last attempt; nil before the first.
	choice *dispatch.Choice
	// upstreamLimit is the request limit that the upstream of the last response named, or
	// nil.
	upstreamLimit *float64
	// upstreamLeaving and upstreamBackoff are what the last response says of its upstream, for
	// the log.
	upstreamLeaving bool
	upstreamBackoff time.Duration
	// upstreamFraming is the framing of the last upstream's response, for the log.
	upstreamFraming framing.Kind
	// status is the status of the response to the caller.
	status int
	// reason is the last failure, for the log; it is empty if there was none.
	reason string
	// firstEvent is the time from receivedAt to the first event of a stream.
	firstEvent time.Duration
	// headSent reports whether the head of the response was sent to the caller, with
	// framing as the framing of the body.
	headSent bool
	framing  framing.Kind
	// mustAbort reports whether the connection must be aborted, so that the response
	// does not look complete.
	mustAbort bool
	// callerDisconnected reports whether the caller has closed its connection.
	callerDisconnected bool
	// lastEventID is the identifier of the last event that was relayed.
	lastEventID string
	// eventsSent counts the events that were relayed.
	eventsSent int
}

const (
	// maxTries bounds the attempts per request, not counting those that failed to
	// connect. An attempt that is prevented by the connection limit counts.
	maxTries = 4
	// maxConnectFailures bounds the attempts per request that failed to connect.
	// Such an attempt costs little, and the first few fail while half of the
	// upstreams of a service are being removed.
	maxConnectFailures = 12
)

// serve sends the request to upstreams until an attempt is final or no further
// attempt is allowed. It returns nil if the response of an upstream was relayed.
func (x *exchange) serve() *refusal {
	ctx, end := context.WithCancelCause(x.request.Context())
	defer end(nil)
	stopWaiting := context.AfterFunc(x.server.running, func() { end(errStopping) })
	defer stopWaiting()
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, x.deadline)
		defer cancel()
	}
	var lastRefusal *refusal
	for x.attempts-x.connectFailures < maxTries && x.connectFailures < maxConnectFailures {
		if refusal := x.quarantineRefusal(); refusal != nil {
			return refusal
		}
		if refusal := x.drainRefusal(); refusal != nil {
			return refusal
		}
		x.attempts++
		outcome, err := x.attemptOrForward(ctx)
		if err != nil {
			return x.choiceRefusal(err, lastRefusal)
		}
		if outcome.isFinal {
			return outcome.refusal
		}
		lastRefusal = outcome.refusal
		if !x.canRetry(outcome) {
			return lastRefusal
		}
	}
	return lastRefusal
}

// attemptOrForward sends the request to an upstream, or, if this daemon reaches none, to
// another daemon. It returns an error if no upstream could be chosen.
func (x *exchange) attemptOrForward(ctx context.Context) (attemptOutcome, error) {
	if x.isPathLost() {
		return x.forward(ctx), nil
	}
	choice, err := x.server.opts.Chooser.Choose(ctx, x.dispatchRequest())
	if err != nil {
		return attemptOutcome{}, err
	}
	return x.attempt(ctx, choice), nil
}

// choiceRefusal returns the refusal of a request for which no upstream could be
// chosen: that of the last attempt, or one made from err if there was no attempt. The
// caller is to return when both allow it.
func (x *exchange) choiceRefusal(err error, lastRefusal *refusal) *refusal {
	if x.request.Context().Err() != nil {
		x.callerDisconnected = true
	}
	refusal := refusalFromError(err)
	if lastRefusal == nil {
		return refusal
	}
	if promisesNotRun(lastRefusal.status) {
		lastRefusal.retryAfter = max(lastRefusal.retryAfter, refusal.retryAfter)
	}
	return lastRefusal
}

// canRetry reports whether the request may be sent to another upstream.
func (x *exchange) canRetry(outcome attemptOutcome) bool {
	if x.request.Context().Err() != nil {
		x.callerDisconnected = true
		return false
	}
	if !x.deadline.IsZero() && !time.Now().Before(x.deadline) {
		return false
	}
	if !outcome.notSent && x.sends >= x.route.MaxAttempts {
		return false
	}
	if x.headSent {
		return x.canResume()
	}
	return !x.mayHaveRun || x.route.Repeatable()
}

// canResume reports whether another upstream can continue what was sent to the caller: the
// events of a stream whose last one it can name.
func (x *exchange) canResume() bool {
	return x.route.Kind == fleetconfig.Stream && x.route.Resumable && x.eventsSent > 0 && x.lastEventID != ""
}

// urgency returns the rank of the request; 0 is the most urgent.
func (x *exchange) urgency() int {
	if x.workspace != nil && x.workspace.Urgency != nil {
		return *x.workspace.Urgency
	}
	return x.route.Urgency
}

func (x *exchange) dispatchRequest() *dispatch.Request {
	priority := dispatch.PriorityFromUrgency(x.urgency())
	r := &dispatch.Request{
		ID: x.call.AttemptID, Class: x.route.Name, Route: x.route.Name, Pool: x.service.Name,
		Chat: x.route.Kind == fleetconfig.Stream, Idempotent: x.route.Repeatable(),
		PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens,
		AcceptedAt: x.receivedAt, Deadline: x.deadline, Attempt: x.attempts, ReachedAttempts: x.sends, Exclude: x.excluded,
		ResumedTokens: x.eventsSent, Priority: &priority, Key: x.key,
	}
	r.Blocks, r.SharedBlocks = promptBlocks(x.call.Model, x.call.Parts)
	if l := x.server.opts.UpstreamLimit; l != nil {
		r.Exclude = append(l.Blocked(), x.excluded...)
	}
	if x.call.ExpectedTokens > 0 {
		r.MaxTokens = min(r.MaxTokens, x.call.ExpectedTokens)
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
	}
	return r
}
