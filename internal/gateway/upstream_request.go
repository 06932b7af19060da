package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/membership"
	"rattantide/internal/upstreamconn"
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// withoutHopByHopHeaders returns a copy of h without hopByHopHeaders and the
// headers that Connection names.
func withoutHopByHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func (x *exchange) upstreamRequest(choice *dispatch.Choice) *upstreamconn.Request {
	header := withoutHopByHopHeaders(x.request.Header)
	a := Attempt{Upstream: choice.Upstream.Name, LastEventID: x.lastEventID}
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
		Header: header, Body: x.body, HasBody: x.hasBody, MaySend: func() error { return x.maySend(choice.Upstream) },
		EndsWithPath: x.endsWithPath(),
	}
}

// endsWithPath reports whether the request is given up at its upstream once the path to it is
// lost, as another daemon can serve it instead.
func (x *exchange) endsWithPath() bool {
	return x.forwarded == nil && x.server.opts.Paths != nil && x.route.Repeatable() && x.sends+1 < x.route.MaxAttempts
}

const (
	// errUpstreamUnusable means that an upstream may no longer get requests.
	errUpstreamUnusable = errors.ConstError("upstream is leaving, has asked for a backoff or may not be used any more")
	// errUpstreamLimit means that an upstream may get no more requests at present.
	errUpstreamLimit = errors.ConstError("upstream has reached its limit")
)

// maySend returns an error if a request may not be sent to the upstream that was chosen for
// it. What is known of the upstream may have changed since.
func (x *exchange) maySend(u membership.Upstream) error {
	o := x.server.opts
	if x.isTooLate() {
		return errors.Trace(errDraining)
	}
	if o.UpstreamStates != nil && !o.UpstreamStates.IsUsable(u) {
		return errors.Trace(errUpstreamUnusable)
	}
	if o.UpstreamLimit != nil && !o.UpstreamLimit.Allow(u.Name) {
		return errors.Trace(errUpstreamLimit)
	}
	return nil
}
