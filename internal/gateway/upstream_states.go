package gateway

import "rattantide/internal/membership"

// recordUpstreamLimit records the limit that a response names, unless the response is that
// of another upstream or to another request.
func (x *exchange) recordUpstreamLimit(upstream string, info ResponseInfo) {
	x.upstreamLimit = info.RequestLimit
	if x.server.opts.LimitRecorder != nil && !info.Misdirected && info.AttemptID == x.call.AttemptID {
		x.server.opts.LimitRecorder.Observe(upstream, info.RequestLimit)
	}
}

// recordUpstreamState records what a response says of its upstream. One that leaves says so
// also in a late response to an earlier request, as the same process has sent that; the time
// of a backoff counts from the response that first asked for it. The response of another
// upstream at the address is not the chosen upstream's.
func (x *exchange) recordUpstreamState(u membership.Upstream, info ResponseInfo, isLate bool) {
	if info.Misdirected {
		return
	}
	x.upstreamLeaving, x.upstreamBackoff = info.Leaving, info.Backoff
	if info.Leaving {
		x.server.leavingAnswers.Inc(1)
		if x.server.opts.UpstreamStates != nil {
			x.server.opts.UpstreamStates.RecordLeaving(u)
		}
	}
	if info.Backoff > 0 && !isLate {
		x.server.backoffAnswers.Inc(1)
		if x.server.opts.UpstreamStates != nil {
			x.server.opts.UpstreamStates.RecordBackoff(u, info.Backoff)
		}
	}
}
