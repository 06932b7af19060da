package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/framing"
	"rattantide/internal/upstreamconn"
)

// maxBufferedBytes is the size up to which a response is buffered before any of it
// is relayed, so that a truncated response can still be replaced by a retry.
// The buffer starts with initialBufferBytes.
const (
	maxBufferedBytes   = 64 << 10
	initialBufferBytes = 2 << 10
)

// relayResponse relays a response that is not a stream of events.
func (a *upstreamAttempt) relayResponse(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	a.firstEvent = time.Since(a.sentAt)
	x.recordUsage()
	held := heldBytes{budget: &x.server.answers, upstream: a.choice.Upstream.Name}
	defer held.release()
	buffered, complete, err := readBeginning(response.Body, &held)
	if err != nil {
		return a.handleTruncated(ctx, err)
	}
	if complete {
		a.reportComplete(response)
	}
	x.writeHead(response, complete, len(buffered))
	if _, err := x.writer.Write(buffered); err != nil {
		return a.endDisconnected(complete)
	}
	if complete {
		return attemptOutcome{isFinal: true}
	}
	held.release()
	return a.relayRemainder(ctx, response)
}

// readBeginning reads a body up to maxBufferedBytes, or as far as the budget of held allows,
// and reports whether that is all of it.
func readBeginning(body io.Reader, held *heldBytes) (beginning []byte, complete bool, err error) {
	beginning = make([]byte, 0, initialBufferBytes)
	for {
		if len(beginning) == cap(beginning) {
			next := 2 * cap(beginning)
			if next > maxBufferedBytes || !held.set(next) {
				return beginning, false, nil
			}
			beginning = append(make([]byte, 0, next), beginning...)
		}
		n, err := body.Read(beginning[len(beginning):cap(beginning)])
		beginning = beginning[:len(beginning)+n]
		if errors.Is(err, io.EOF) {
			return beginning, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// relayRemainder relays what follows the buffered beginning of a large response.
func (a *upstreamAttempt) relayRemainder(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	buf := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			x.renewWriteDeadline()
			if _, writeErr := x.writer.Write(buf[:n]); writeErr != nil {
				return a.endDisconnected(false)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			a.reportComplete(response)
			return attemptOutcome{isFinal: true}
		default:
			return a.handleTruncated(ctx, err)
		}
	}
}

// reportComplete reports a response that was received completely. One that ends with its
// connection does not show that the upstream survived it.
func (a *upstreamAttempt) reportComplete(response *upstreamconn.Response) {
	isWhole := response.Framing != framing.Conn
	if response.Status >= 500 {
		if isWhole {
			a.suspicion.recordFailed()
		}
		a.report(dispatch.StatusError)
		return
	}
	if isWhole {
		a.suspicion.recordBegun()
	}
	a.report(dispatch.StatusOK)
}

// handleTruncated handles a response that ended early.
func (a *upstreamAttempt) handleTruncated(ctx context.Context, err error) attemptOutcome {
	a.exchange.reason = "response truncated: " + err.Error()
	if ctx.Err() != nil {
		return a.endInterrupted(ctx)
	}
	return a.endLost()
}

// endDisconnected ends an attempt whose caller no longer reads the response.
// reported indicates whether the result was already reported to the dispatcher.
func (a *upstreamAttempt) endDisconnected(reported bool) attemptOutcome {
	a.exchange.callerDisconnected = true
	if !reported {
		a.report(dispatch.StatusCanceled)
	}
	return attemptOutcome{isFinal: true, refusal: a.exchange.noResponseRefusal()}
}

// writeHead sends the head of a response to the caller.
func (x *exchange) writeHead(response *upstreamconn.Response, complete bool, length int) {
	header := x.writer.Header()
	for name, values := range withoutHopByHopHeaders(response.Header) {
		header[name] = values
	}
	x.framing = x.callerFraming(response, complete)
	framing.Begin(x.writer, x.request, x.framing)
	switch {
	case x.framing != framing.Length:
	case complete:
		framing.SetLength(header, length)
	default:
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.status, x.headSent = response.Status, true
	x.setWriteDeadline()
	x.writer.WriteHeader(response.Status)
}

// callerFraming returns the framing of the response to the caller; complete reports whether
// the whole body has been read.
func (x *exchange) callerFraming(response *upstreamconn.Response, complete bool) framing.Kind {
	kind := response.Framing
	switch {
	case kind == framing.Chunks && complete:
		kind = framing.Length
	case kind == framing.Length && !complete && x.route.Resumable:
		// The length is that of the first part of a stream that may be resumed.
		kind = framing.Chunks
	}
	return framing.Relayed(kind, x.request)
}

// recordUsage counts the request for its workspace, once per request.
func (x *exchange) recordUsage() {
	if x.usageCounted || x.workspace == nil || x.server.opts.Usage == nil {
		return
	}
	x.usageCounted = true
	x.server.opts.Usage.RecordStarted(x.workspace.Name)
}
