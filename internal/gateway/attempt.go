package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/upstreamconn"
)

// attemptEnd tells how one attempt at an upstream ended.
type attemptEnd struct {
	// final says that the caller has its answer, or that refused is it.
	final bool
	// notSent says that the upstream did not get the request.
	notSent bool
	refused *refusal
}

// busyRetryAfter is advised after an upstream refused a request that may not be
// sent to another one.
const busyRetryAfter = 200 * time.Millisecond

// attempt sends the request to the chosen upstream and passes the answer on.
func (x *exchange) attempt(ctx context.Context, choice *dispatch.Choice) attemptEnd {
	// Ending the attempt closes the connection, which ends the upstream's work.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &upstreamAttempt{exchange: x, choice: choice, sentAt: time.Now()}
	x.upstream = choice.Upstream.Name
	answer, err := x.server.opts.Conns.Do(ctx, choice.Upstream.Address, x.connLimit(), x.upstreamRequest(choice))
	if err != nil {
		return a.failed(ctx, err)
	}
	defer answer.Body.Close()
	x.sends++
	return a.answered(ctx, answer)
}

func (x *exchange) connLimit() int {
	if x.server.opts.ConnLimit == nil {
		return 0
	}
	return x.server.opts.ConnLimit(x.service)
}

// hopHeaders concern only one connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// withoutHopHeaders returns a copy without the headers that concern only one
// connection.
func withoutHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (x *exchange) upstreamRequest(choice *dispatch.Choice) *upstreamconn.Request {
	header := withoutHopHeaders(x.request.Header)
	a := Attempt{Upstream: choice.Upstream.Name, LastEventID: x.lastEvent}
	if !x.deadline.IsZero() {
		a.Remaining, a.HasDeadline = time.Until(x.deadline), true
	}
	if x.workspace != nil {
		a.Workspace = x.workspace.Name
	}
	if x.service.Engine != nil {
		a.Urgency, a.HasUrgency = x.urgency(), true
	}
	x.server.opts.Codec.EncodeAttempt(header, a)
	return &upstreamconn.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body, HasBody: x.hasBody,
	}
}

// upstreamAttempt is one attempt on its way.
type upstreamAttempt struct {
	exchange *exchange
	choice   *dispatch.Choice
	sentAt   time.Time
	first    time.Duration
	lastAt   time.Time
	maxGap   time.Duration
	events   int
}

// done reports the outcome to the dispatcher.
func (a *upstreamAttempt) done(status dispatch.Status) {
	res := dispatch.Result{Status: status, FirstToken: a.first, Total: time.Since(a.sentAt), Tokens: a.events, MaxGap: a.maxGap}
	if a.events > 1 {
		res.MeanGap = (res.Total - a.first) / time.Duration(a.events-1)
	}
	a.choice.Done(res)
}

// failed handles an attempt without an answer.
func (a *upstreamAttempt) failed(ctx context.Context, err error) attemptEnd {
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
		return a.interrupted()
	case errors.Is(err, upstreamconn.ErrNoConnection):
		status = dispatch.StatusBusy
	case sent:
		status = dispatch.StatusCrash
	default:
		x.unreached++
	}
	end := a.elsewhere(status)
	end.notSent = !sent
	return end
}

// interrupted ends an attempt whose time is over or whose caller has left.
func (a *upstreamAttempt) interrupted() attemptEnd {
	x := a.exchange
	if x.request.Context().Err() != nil {
		return a.callerGone(false)
	}
	a.done(dispatch.StatusTimeout)
	return attemptEnd{final: true, refused: x.timedOut()}
}

// elsewhere ends an attempt after which only another upstream may get the request.
func (a *upstreamAttempt) elsewhere(status dispatch.Status) attemptEnd {
	x := a.exchange
	x.exclude = append(x.exclude, a.choice.Upstream.Name)
	a.done(status)
	return attemptEnd{refused: x.withoutAnswer()}
}

// withoutAnswer is the refusal of a request that no upstream answered.
func (x *exchange) withoutAnswer() *refusal {
	if x.mayHaveRun {
		return refuse(http.StatusBadGateway, "the upstream did not answer: "+x.reason)
	}
	return refuseFor(http.StatusServiceUnavailable, "no upstream took the request: "+x.reason, busyRetryAfter)
}

// timedOut is the refusal of a request whose time is over.
func (x *exchange) timedOut() *refusal {
	if x.mayHaveRun {
		return refuse(http.StatusGatewayTimeout, "no answer in time")
	}
	return refuse(http.StatusServiceUnavailable, "not started in time")
}

// answered handles the head of an answer.
func (a *upstreamAttempt) answered(ctx context.Context, answer *upstreamconn.Response) attemptEnd {
	x := a.exchange
	said := x.server.opts.Codec.DecodeAnswer(answer.Status, answer.Header)
	if said.Load != nil && x.server.opts.Loads != nil {
		x.server.opts.Loads.SetLoad(a.choice.Upstream.Name, *said.Load)
	}
	if said.NotRun && said.AttemptID != "" && said.AttemptID != x.call.AttemptID {
		// The answer to an earlier request says nothing about this one.
		said.NotRun = false
	}
	switch {
	case said.NotRun:
		return a.notRun(answer, said)
	case said.AttemptID != x.call.AttemptID:
		return a.spoiled(ctx, "answer to another request")
	case answer.Status < 300 && !said.Sealed:
		return a.spoiled(ctx, "success without signature")
	}
	x.mayHaveRun = true
	if answer.Status >= 500 {
		return a.upstreamError(ctx, answer)
	}
	if x.route.Kind == fleetconfig.Stream && answer.Status == http.StatusOK {
		return a.stream(ctx, answer)
	}
	return a.whole(ctx, answer)
}

// notRun handles an upstream that did not run the request.
func (a *upstreamAttempt) notRun(answer *upstreamconn.Response, said Answer) attemptEnd {
	a.exchange.reason = "upstream refused with " + http.StatusText(answer.Status)
	if said.Gone {
		return a.elsewhere(dispatch.StatusRefused)
	}
	return a.elsewhere(dispatch.StatusBusy)
}

// spoiled handles an answer that cannot be passed on.
func (a *upstreamAttempt) spoiled(ctx context.Context, reason string) attemptEnd {
	x := a.exchange
	x.mayHaveRun = true
	x.reason = reason
	if ctx.Err() != nil {
		return a.interrupted()
	}
	return a.elsewhere(dispatch.StatusError)
}

// upstreamError handles a failure that the upstream answered. It is passed on
// unless the request may be tried elsewhere.
func (a *upstreamAttempt) upstreamError(ctx context.Context, answer *upstreamconn.Response) attemptEnd {
	x := a.exchange
	x.reason = "upstream answered " + http.StatusText(answer.Status)
	if x.started {
		return a.elsewhere(dispatch.StatusError)
	}
	if x.route.Repeatable() && x.sends < x.route.MaxAttempts && x.canRepeat() {
		end := a.elsewhere(dispatch.StatusError)
		end.refused = refuse(http.StatusBadGateway, x.reason)
		return end
	}
	if answer.Status == http.StatusServiceUnavailable {
		// Passed on, the status would promise that the request did not run.
		a.done(dispatch.StatusError)
		return attemptEnd{final: true, refused: refuse(http.StatusBadGateway, x.reason)}
	}
	return a.whole(ctx, answer)
}

// canRepeat reports whether enough time is left for another attempt.
func (x *exchange) canRepeat() bool {
	return x.deadline.IsZero() || time.Until(x.deadline) > x.route.Target/4
}
