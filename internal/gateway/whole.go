package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/upstreamconn"
)

// maxBuffered is the size up to which an answer is read whole before any of it is
// passed on, so that one that breaks off can still be replaced.
const maxBuffered = 64 << 10

// whole passes on an answer that is not a stream of events.
func (a *upstreamAttempt) whole(ctx context.Context, answer *upstreamconn.Response) attemptEnd {
	x := a.exchange
	a.first = time.Since(a.sentAt)
	x.began()
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil {
		return a.cutOff(ctx, err)
	}
	complete := len(buffered) < maxBuffered
	if complete {
		a.finish(answer.Status)
	}
	x.head(answer, complete, len(buffered))
	if _, err := x.writer.Write(buffered); err != nil {
		return a.callerGone(complete)
	}
	if complete {
		return attemptEnd{final: true}
	}
	return a.rest(ctx, answer)
}

// rest passes on what follows the buffered beginning of a large answer.
func (a *upstreamAttempt) rest(ctx context.Context, answer *upstreamconn.Response) attemptEnd {
	x := a.exchange
	buf := make([]byte, 16<<10)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if _, writeErr := x.writer.Write(buf[:n]); writeErr != nil {
				return a.callerGone(false)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			a.finish(answer.Status)
			return attemptEnd{final: true}
		default:
			return a.cutOff(ctx, err)
		}
	}
}

// finish reports an answer that came whole.
func (a *upstreamAttempt) finish(status int) {
	if status >= 500 {
		a.done(dispatch.StatusError)
		return
	}
	a.done(dispatch.StatusOK)
}

// cutOff handles an answer that ended early.
func (a *upstreamAttempt) cutOff(ctx context.Context, err error) attemptEnd {
	a.exchange.reason = "answer broke off: " + err.Error()
	if ctx.Err() != nil {
		return a.interrupted()
	}
	return a.elsewhere(dispatch.StatusCrash)
}

// callerGone handles a caller that no longer takes its answer.
func (a *upstreamAttempt) callerGone(reported bool) attemptEnd {
	a.exchange.gone = true
	if !reported {
		a.done(dispatch.StatusCanceled)
	}
	return attemptEnd{final: true, refused: a.exchange.withoutAnswer()}
}

// head sends the head of an answer to the caller.
func (x *exchange) head(answer *upstreamconn.Response, complete bool, length int) {
	header := x.writer.Header()
	for name, values := range withoutHopHeaders(answer.Header) {
		header[name] = values
	}
	switch {
	case complete && bodyAllowed(x.request.Method, answer.Status):
		header.Set("Content-Length", strconv.Itoa(length))
	case answer.Length >= 0 && bodyAllowed(x.request.Method, answer.Status):
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.status, x.started = answer.Status, true
	x.writer.WriteHeader(answer.Status)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// began counts the request once for its workspace.
func (x *exchange) began() {
	if x.counted || x.workspace == nil || x.server.opts.Usage == nil {
		return
	}
	x.counted = true
	x.server.opts.Usage.Began(x.workspace.Name)
}
