package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"rattantide/internal/callerbody"
	"rattantide/internal/forwardheader"
)

// statusClientClosedRequest is the status in logs and metrics of a request whose
// caller disconnected before the response was complete.
const statusClientClosedRequest = 499

// writeRefusal sends a refusal, or aborts the response if its head was already sent
// or the caller has disconnected. It refunds the quota of a request that did not run.
func (x *exchange) writeRefusal(r *refusal) {
	x.reason = r.reason
	if promisesNotRun(r.status) {
		x.returnQuota()
	}
	if x.headSent || x.callerDisconnected {
		x.mustAbort = true
		if x.callerDisconnected {
			x.status = statusClientClosedRequest
		}
		return
	}
	x.status = r.status
	if !x.bodyRead {
		callerbody.LeaveUnread(x.writer, x.request)
	}
	x.setWriteDeadline()
	header := x.writer.Header()
	x.server.opts.Codec.EncodeRefusal(header, x.call.AttemptID, r.retryAfter)
	if x.forwarded != nil && r.isLocal {
		header.Set(forwardheader.NotHelped, "1")
	}
	header.Set("Content-Length", "0")
	x.writer.WriteHeader(r.status)
}

// log writes the log line of the request and updates the metrics.
func (x *exchange) log() {
	s := x.server
	took := time.Since(x.receivedAt)
	s.scope.Tagged(map[string]string{"status": strconv.Itoa(x.status)}).Counter("answers").Inc(1)
	s.duration.RecordDuration(took)
	if x.firstEvent > 0 {
		s.firstEvent.RecordDuration(x.firstEvent)
	}
	fields := []any{
		"request", x.call.AttemptID, "status", x.status, "ms", took.Milliseconds(),
		"attempts", x.attempts, "sends", x.sends, "upstream", x.upstreamName, "ran", x.mayHaveRun,
		"configAgeMs", x.configAge.Milliseconds(),
	}
	if x.config != nil {
		fields = append(fields, "config", x.config.Version)
	}
	if x.forwarded != nil {
		fields = append(fields, "forwardedBy", x.forwarded.by)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", x.workspace.Name)
	}
	if x.upstreamLimit != nil {
		fields = append(fields, "upstreamLimit", *x.upstreamLimit)
	}
	if c := x.choice; c != nil && c.Pace > 0 {
		// The age is that of a report; an upstream without one counts as an average one.
		fields = append(fields, "pace", twoDigits(c.Pace), "speed", twoDigits(c.Speed), "stateAgeMs", min(c.StateAge, time.Minute).Milliseconds())
	}
	if x.upstreamLeaving {
		fields = append(fields, "upstreamLeaving", true)
	}
	if x.upstreamBackoff > 0 {
		fields = append(fields, "upstreamBackoffMs", x.upstreamBackoff.Milliseconds())
	}
	if x.upstreamFraming != "" {
		fields = append(fields, "framing", x.upstreamFraming)
	}
	if x.firstEvent > 0 {
		fields = append(fields, "firstMs", x.firstEvent.Milliseconds(), "lastEvent", x.lastEventID, "events", x.eventsSent)
	}
	if x.reason != "" {
		fields = append(fields, "reason", x.reason)
	}
	switch {
	case x.mustAbort:
		s.opts.Logger.Warn("response aborted", fields...)
	case x.status >= http.StatusInternalServerError || x.status == http.StatusTooManyRequests:
		s.opts.Logger.Warn("request not served", fields...)
	default:
		s.opts.Logger.Info("request answered", fields...)
	}
}

// twoDigits rounds a ratio for the log.
func twoDigits(ratio float64) float64 { return math.Round(ratio*100) / 100 }
