package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/upstreamconn"
)

// streamBuffer is the size of one read of a stream.
const streamBuffer = 4 << 10

// stream passes on events as they arrive. Only whole events are passed on, so
// that another upstream can go on after the last one.
func (a *upstreamAttempt) stream(ctx context.Context, answer *upstreamconn.Response) attemptEnd {
	x := a.exchange
	splitter := &eventSplitter{last: x.lastEvent}
	control := http.NewResponseController(x.writer)
	buf := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			ready, tooLarge := splitter.add(buf[:n])
			if tooLarge {
				return a.cutOff(ctx, errors.New("event too large"))
			}
			if len(ready) > 0 {
				if !a.pass(answer, control, ready, splitter) {
					return a.callerGone(false)
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return a.endOfStream(answer, splitter)
		default:
			return a.cutOff(ctx, err)
		}
	}
}

// pass sends whole events to the caller and reports whether it took them.
func (a *upstreamAttempt) pass(answer *upstreamconn.Response, control *http.ResponseController, ready []byte, splitter *eventSplitter) bool {
	x := a.exchange
	a.observe(splitter.count)
	if !x.started {
		x.head(answer, false, 0)
	}
	if _, err := x.writer.Write(ready); err != nil {
		return false
	}
	if err := control.Flush(); err != nil {
		return false
	}
	x.lastEvent, x.events = splitter.last, x.events+splitter.count
	splitter.count = 0
	return true
}

// observe records the times of events.
func (a *upstreamAttempt) observe(count int) {
	x := a.exchange
	now := time.Now()
	if a.events == 0 {
		x.began()
		a.first = now.Sub(a.sentAt)
		if x.firstEvent == 0 {
			x.firstEvent = now.Sub(x.arrived)
		}
		if a.choice.FirstToken != nil {
			a.choice.FirstToken(a.first)
		}
	} else {
		a.maxGap = max(a.maxGap, now.Sub(a.lastAt))
	}
	a.lastAt = now
	a.events += count
}

// endOfStream passes on what follows the last event, and ends the answer.
func (a *upstreamAttempt) endOfStream(answer *upstreamconn.Response, splitter *eventSplitter) attemptEnd {
	x := a.exchange
	if a.events == 0 {
		x.began()
	}
	a.done(dispatch.StatusOK)
	if !x.started {
		x.head(answer, false, 0)
	}
	if rest := splitter.rest(); len(rest) > 0 {
		if _, err := x.writer.Write(rest); err != nil {
			x.gone = true
		}
	}
	return attemptEnd{final: true}
}
