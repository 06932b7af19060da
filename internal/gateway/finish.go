package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// statusCallerGone marks a caller that left before its answer in logs and
// metrics.
const statusCallerGone = 499

// refuse answers with a refusal, or breaks the answer off when its head was sent
// already.
func (x *exchange) refuse(r *refusal) {
	x.reason = r.reason
	if r.notRun() {
		x.returnQuota()
	}
	if x.started || x.gone {
		x.broken = true
		if x.gone {
			x.status = statusCallerGone
		}
		return
	}
	x.status = r.status
	header := x.writer.Header()
	x.server.opts.Codec.EncodeRefusal(header, x.call.AttemptID, r.retryAfter)
	header.Set("Content-Length", "0")
	x.writer.WriteHeader(r.status)
}

// log writes the line of the request and counts it.
func (x *exchange) log() {
	s := x.server
	took := time.Since(x.arrived)
	s.answers.Tagged(map[string]string{"status": strconv.Itoa(x.status)}).Counter("answers").Inc(1)
	s.duration.RecordDuration(took)
	if x.firstEvent > 0 {
		s.first.RecordDuration(x.firstEvent)
	}
	fields := []any{
		"request", x.call.AttemptID, "status", x.status, "ms", took.Milliseconds(),
		"attempts", x.attempts, "sends", x.sends, "upstream", x.upstream, "ran", x.mayHaveRun,
		"configAgeMs", x.configAge.Milliseconds(),
	}
	if x.config != nil {
		fields = append(fields, "config", x.config.Version)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", x.workspace.Name)
	}
	if x.firstEvent > 0 {
		fields = append(fields, "firstMs", x.firstEvent.Milliseconds(), "lastEvent", x.lastEvent)
	}
	if x.reason != "" {
		fields = append(fields, "reason", x.reason)
	}
	switch {
	case x.broken:
		s.opts.Logger.Warn("answer broken off", fields...)
	case x.status >= http.StatusInternalServerError || x.status == http.StatusTooManyRequests:
		s.opts.Logger.Warn("request not served", fields...)
	default:
		s.opts.Logger.Info("request answered", fields...)
	}
}
