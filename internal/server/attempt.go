package server

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/engineclient"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

// growth is the room that is made when the journal is full, in bytes. It is
// more than the buffer of most answers.
const growth = 256 << 10

var doneData = []byte("[DONE]")

// attempt runs one stream from an engine into the journal.
func (r *runner) attempt(ctx context.Context, choice *dispatch.Choice, number int, how mode, fresh bool, measured *seen) result {
	request := engineclient.StreamRequest{
		Address: choice.Upstream.Address, RequestID: r.rec.ID, Attempt: number, Priority: choice.Priority,
		Body: r.rec.Body, FreshConnection: fresh, MaxEventBytes: r.server.options.MaxEventBytes,
	}
	var known [][]byte
	switch how {
	case modeResume:
		request.AfterEvent = r.rec.Last()
	case modePrefix:
		body, err := continuationBody(r.rec.Body, r.rec.Events())
		if err != nil {
			return result{ending: endPrefixRefused, err: err}
		}
		request.Body = body
	case modeRegenerate:
		known = r.rec.Events()
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !r.staying {
		r.call.running.Store(&running{
			upstream: choice.Upstream.Name, begun: time.Now(), before: r.rec.Last(),
			interrupt: func() { cancel(errLeaving) },
		})
		defer r.call.running.Store(nil)
		// The upstream may have begun to leave since it was chosen.
		r.server.checkUpstream(r.call)
	}
	watchdog := time.AfterFunc(r.limits.first, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := r.server.options.Engine.Stream(attemptCtx, request)
	if err != nil {
		return r.classify(ctx, attemptCtx, err, how)
	}
	r.ran = true
	defer func() { _ = stream.Close() }()
	var early reorder
	for {
		event, err := stream.Next()
		if err != nil {
			return r.classify(ctx, attemptCtx, err, how)
		}
		if bytes.Equal(event.Data, doneData) {
			if len(early.held) > 0 || r.rec.Last() == 0 {
				return result{ending: endLost, err: journal.ErrGap}
			}
			return result{ending: endDone}
		}
		watchdog.Reset(r.limits.next)
		if end, stop := r.take(number, event, known, &early, measured); stop {
			return end
		}
	}
}

// take appends an event and those that waited for it.
func (r *runner) take(number int, event relay.Event, known [][]byte, early *reorder, measured *seen) (result, bool) {
	if event.ID == 0 {
		// An engine that does not number an event sends it in order.
		event.ID = r.rec.Last() + 1
	}
	if event.ID <= int64(len(known)) {
		if !sameToken(known[event.ID-1], event.Data) {
			return result{ending: endDiffers, err: errors.New("the regenerated answer differs")}, true
		}
		return result{}, false
	}
	for {
		err := r.rec.Append(number, event.ID, event.Data)
		if errors.Is(err, journal.ErrTooLarge) && r.server.options.Journal.MakeRoom(growth) {
			err = r.rec.Append(number, event.ID, event.Data)
		}
		switch {
		case err == nil:
			measured.event(time.Now())
			r.server.metrics.events.Inc(1)
		case errors.Is(err, journal.ErrDuplicateEvent):
			return result{}, false
		case errors.Is(err, journal.ErrGap):
			if early.hold(event) {
				return result{}, false
			}
			return result{ending: endLost, err: err}, true
		case errors.Is(err, journal.ErrTooLarge):
			return result{ending: endFinal, err: err, problem: problem.Unknown(http.StatusBadGateway,
				problem.CodeTooLarge, "the answer exceeds the memory for requests")}, true
		default:
			return result{ending: endStopped, err: err}, true
		}
		data, ok := early.take(event.ID + 1)
		if !ok {
			return result{}, false
		}
		event = relay.Event{ID: event.ID + 1, Data: data}
	}
}

// classify turns a failure of the stream into an ending.
func (r *runner) classify(ctx, attemptCtx context.Context, err error, how mode) result {
	var failure *engineclient.Error
	answered := errors.As(err, &failure)
	if !answered || !failure.NotRun && !failure.Rejected {
		r.ran = true
	}
	switch {
	case ctx.Err() != nil:
		return result{ending: endStopped, err: err}
	case errors.Is(context.Cause(attemptCtx), errLeaving):
		return result{ending: endLeaving, err: err}
	case errors.Is(context.Cause(attemptCtx), errSilent) && (!answered || !failure.NotRun):
		return result{ending: endSilent, err: err}
	case !answered || failure.Status == 0 && !failure.NotRun:
		return result{ending: endLost, err: err}
	case how == modeResume && errors.Is(err, engineclient.ErrUnknownRequest):
		return result{ending: endForgotten, err: err}
	case how == modeResume && failure.NotRun && failure.Status == 0:
		return result{ending: endGone, err: err}
	case failure.Status == http.StatusTooManyRequests:
		return result{ending: endBusy, err: err}
	case failure.NotRun, failure.Status == http.StatusNotFound:
		// An engine that answers 404 does not serve the model yet, or no longer.
		return result{ending: endRefused, draining: failure.Draining, err: err}
	case !failure.Rejected:
		return result{ending: endError, err: err}
	case how == modePrefix:
		return result{ending: endPrefixRefused, err: err}
	}
	return result{ending: endFinal, err: err, problem: problem.New(failure.Status, problem.CodeBadRequest,
		"the engine refused the request: "+string(failure.Body))}
}
