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
	"rattantide/internal/responsehead"
)

// journalEvictBytes is how much memory is freed in the journal when it is full. It
// is more than the events of most answers take.
const journalEvictBytes = 256 << 10

var doneData = []byte("[DONE]")

// runAttempt opens one stream at the chosen engine and appends its events to the
// record until the stream ends. number is the attempt's number in the record,
// and freshConnection forces a new connection to the engine.
func (r *requestExecutor) runAttempt(ctx context.Context, choice *dispatch.Choice, number int, mode attemptMode, freshConnection bool, measurement *upstreamMeasurement) attemptResult {
	request := engineclient.StreamRequest{
		Address: choice.Upstream.Address, RequestID: r.rec.ID, Attempt: number, Priority: choice.Priority,
		Body: r.rec.Body, FreshConnection: freshConnection, MaxEventBytes: r.server.options.MaxEventBytes,
	}
	var expected [][]byte
	switch mode {
	case modeResume:
		request.AfterEvent = r.rec.LastEvent()
	case modePrefix:
		body, err := continuationBody(r.rec.Body, r.rec.Events())
		if err != nil {
			return attemptResult{reason: endPrefixRefused, err: err}
		}
		request.Body = body
	case modeRegenerate:
		expected = r.rec.Events()
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !r.migrationDisabled {
		r.active.attempt.Store(&activeAttempt{
			upstream: choice.Upstream.Name, startedAt: time.Now(), lastEventBefore: r.rec.LastEvent(),
			interrupt: func() { cancel(errLeaving) },
		})
		defer r.active.attempt.Store(nil)
		// The upstream may have announced its departure since it was chosen.
		r.server.interruptIfLeaving(r.active)
	}
	watchdog := time.AfterFunc(r.timeouts.firstEvent, func() { cancel(errStalled) })
	defer watchdog.Stop()
	stream, err := r.server.options.Engine.Stream(attemptCtx, request)
	if err != nil {
		return r.classify(ctx, attemptCtx, err, mode)
	}
	r.mayHaveRun = true
	defer func() { _ = stream.Close() }()
	var reordered reorderBuffer
	for {
		event, err := stream.Next()
		if err != nil {
			return r.classify(ctx, attemptCtx, err, mode)
		}
		if bytes.Equal(event.Data, doneData) {
			if len(reordered.events) > 0 || r.rec.LastEvent() == 0 {
				return attemptResult{reason: endStreamBroken, err: journal.ErrGap}
			}
			return attemptResult{reason: endDone}
		}
		watchdog.Reset(r.timeouts.nextEvent)
		if result, stop := r.recordEvent(number, event, expected, &reordered, measurement); stop {
			return result
		}
	}
}

// recordEvent appends an event to the record, and then the buffered events that
// directly follow it. Events that are covered by expected are compared with it
// instead and not appended. The result is valid when stop is true, which ends
// the attempt.
func (r *requestExecutor) recordEvent(number int, event relay.Event, expected [][]byte, reordered *reorderBuffer, measurement *upstreamMeasurement) (attemptResult, bool) {
	if event.ID == 0 {
		// An engine that does not number its events sends them in order.
		event.ID = r.rec.LastEvent() + 1
	}
	if event.ID <= int64(len(expected)) {
		if !sameToken(expected[event.ID-1], event.Data) {
			return attemptResult{reason: endMismatch, err: errors.New("regenerated event differs from the one already recorded")}, true
		}
		return attemptResult{}, false
	}
	for {
		err := r.rec.Append(number, event.ID, event.Data)
		if errors.Is(err, journal.ErrTooLarge) && r.server.options.Journal.EvictFor(journalEvictBytes) {
			err = r.rec.Append(number, event.ID, event.Data)
		}
		switch {
		case err == nil:
			measurement.recordToken(time.Now())
			r.server.metrics.events.Inc(1)
		case errors.Is(err, journal.ErrDuplicateEvent):
			return attemptResult{}, false
		case errors.Is(err, journal.ErrGap):
			if reordered.add(event) {
				return attemptResult{}, false
			}
			return attemptResult{reason: endStreamBroken, err: err}, true
		case errors.Is(err, journal.ErrTooLarge):
			return attemptResult{reason: endUnrecoverable, err: err, problem: problem.NewExecutionUnknown(http.StatusBadGateway,
				problem.CodeTooLarge, "the answer exceeds the memory for requests")}, true
		default:
			return attemptResult{reason: endCanceled, err: err}, true
		}
		data, ok := reordered.remove(event.ID + 1)
		if !ok {
			return attemptResult{}, false
		}
		event = relay.Event{ID: event.ID + 1, Data: data}
	}
}

// classify maps a failure of the stream to the result of the attempt.
func (r *requestExecutor) classify(ctx, attemptCtx context.Context, err error, mode attemptMode) attemptResult {
	var failure *engineclient.Error
	// Errors while reading an open stream are not of this type.
	isCallError := errors.As(err, &failure)
	if !isCallError || !failure.NotRun && !failure.Rejected {
		r.mayHaveRun = true
	}
	result := r.resultOf(ctx, attemptCtx, err, failure, mode)
	if isCallError {
		result.backoff = failure.Backoff
	}
	return result
}

// resultOf returns the result of an attempt that ended with err; failure is nil unless the
// call itself failed.
func (r *requestExecutor) resultOf(ctx, attemptCtx context.Context, err error, failure *engineclient.Error, mode attemptMode) attemptResult {
	isCallError := failure != nil
	switch {
	case ctx.Err() != nil:
		return attemptResult{reason: endCanceled, err: err}
	case errors.Is(context.Cause(attemptCtx), errLeaving):
		return attemptResult{reason: endUpstreamLeaving, err: err}
	case errors.Is(context.Cause(attemptCtx), errStalled) && (!isCallError || !failure.NotRun):
		return attemptResult{reason: endStalled, err: err}
	case errors.Is(err, responsehead.ErrInvalid):
		return attemptResult{reason: endError, err: err}
	case !isCallError || failure.Status == 0 && !failure.NotRun:
		return attemptResult{reason: endStreamBroken, err: err}
	case mode == modeResume && errors.Is(err, engineclient.ErrUnknownRequest):
		return attemptResult{reason: endUnknownRequest, err: err}
	case mode == modeResume && failure.NotRun && failure.Status == 0:
		return attemptResult{reason: endUnreachable, err: err}
	case failure.Status == http.StatusTooManyRequests:
		return attemptResult{reason: endBusy, err: err}
	case failure.NotRun, failure.Status == http.StatusNotFound:
		// An engine that answers 404 does not serve the model at present: it has not
		// loaded it yet, or has unloaded it.
		return attemptResult{reason: endRefused, draining: failure.Draining, err: err}
	case !failure.Rejected:
		return attemptResult{reason: endError, err: err}
	case mode == modePrefix:
		return attemptResult{reason: endPrefixRefused, err: err}
	}
	return attemptResult{reason: endUnrecoverable, err: err, problem: problem.New(failure.Status, problem.CodeBadRequest,
		"the engine refused the request: "+string(failure.Body))}
}
