package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/framing"
	"rattantide/internal/upstreamconn"
)

// streamBufferBytes is the size of one read of a stream.
const streamBufferBytes = 4 << 10

// relayStream relays events as they arrive. Only complete events are relayed, so
// that another upstream can resume the stream after the last one.
func (a *upstreamAttempt) relayStream(ctx context.Context, response *upstreamconn.Response) attemptOutcome {
	x := a.exchange
	splitter := &eventSplitter{lastID: x.lastEventID}
	control := http.NewResponseController(x.writer)
	held := heldBytes{budget: &x.server.answers, upstream: a.choice.Upstream.Name}
	defer held.release()
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			ready, tooLarge := splitter.add(buf[:n])
			if tooLarge {
				return a.handleInvalidResponse(ctx, "event exceeds the limit of 64 KiB")
			}
			if !held.set(splitter.heldBytes()) {
				return a.handleInvalidResponse(ctx, "too many bytes of incomplete events are held")
			}
			if len(ready) > 0 {
				if a.events == 0 && repeatsEvents(ready, x.lastEventID) {
					return a.handleInvalidResponse(ctx, "resumed stream repeats events")
				}
				if !a.relayEvents(response, control, ready, splitter) {
					return a.endDisconnected(false)
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if reason := a.brokenOff(response, splitter); reason != nil {
				return a.handleTruncated(ctx, reason)
			}
			return a.finishStream(response, splitter)
		default:
			return a.handleTruncated(ctx, err)
		}
	}
}

// repeatsEvents reports whether a stream that was resumed after the event last begins with
// that event or an earlier one. Identifiers rise; only numbers show by how much.
func repeatsEvents(events []byte, last string) bool {
	if last == "" {
		return false
	}
	id, ok := eventID(events)
	if !ok {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id == last
	}
	return number <= lastNumber
}

// brokenOff returns why a stream that ended must not end as complete for the caller, or
// nil. Only the end of the connection, without a length or chunks, leaves that open.
func (a *upstreamAttempt) brokenOff(response *upstreamconn.Response, splitter *eventSplitter) error {
	x := a.exchange
	switch {
	case response.Framing != framing.Conn:
		return nil
	case len(splitter.remainder()) > 0:
		return errors.New("connection closed within an event")
	case a.events == 0:
		return errors.New("connection closed before the first event")
	case x.headSent && x.framing != framing.Conn:
		// An earlier attempt's response had a length or chunks, and the caller takes their
		// end for that of the whole stream.
		return errors.New("connection closed, and the stream may be incomplete")
	}
	return nil
}

// relayEvents sends complete events to the caller and reports whether they were
// written.
func (a *upstreamAttempt) relayEvents(response *upstreamconn.Response, control *http.ResponseController, ready []byte, splitter *eventSplitter) bool {
	x := a.exchange
	a.recordEvents(splitter.count)
	if !x.headSent {
		x.writeHead(response, false, 0)
	}
	x.renewWriteDeadline()
	if _, err := x.writer.Write(ready); err != nil {
		return false
	}
	if err := control.Flush(); err != nil {
		return false
	}
	x.lastEventID, x.eventsSent = splitter.lastID, x.eventsSent+splitter.count
	splitter.count = 0
	return true
}

// recordEvents records the time of count events that arrived together.
func (a *upstreamAttempt) recordEvents(count int) {
	x := a.exchange
	now := time.Now()
	if a.events == 0 {
		x.recordUsage()
		a.firstEvent = now.Sub(a.sentAt)
		if x.firstEvent == 0 {
			x.firstEvent = now.Sub(x.receivedAt)
		}
		if a.choice.FirstToken != nil {
			a.choice.FirstToken(a.firstEvent)
		}
	} else {
		a.maxGap = max(a.maxGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.events += count
	if a.events >= begunEvents {
		a.suspicion.recordBegun()
	}
}

// finishStream relays the bytes after the last event and ends the response.
func (a *upstreamAttempt) finishStream(response *upstreamconn.Response, splitter *eventSplitter) attemptOutcome {
	x := a.exchange
	if a.events == 0 {
		x.recordUsage()
	}
	if response.Framing != framing.Conn {
		a.suspicion.recordBegun()
	}
	a.report(dispatch.StatusOK)
	if !x.headSent {
		x.writeHead(response, false, 0)
	}
	if rest := splitter.remainder(); len(rest) > 0 {
		if _, err := x.writer.Write(rest); err != nil {
			x.callerDisconnected = true
		}
	}
	return attemptOutcome{isFinal: true}
}
