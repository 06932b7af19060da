package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// cancelTimeout bounds a cancellation at an engine. If the cancellation fails, the
// engine drops the generation after its grace period.
const cancelTimeout = 2 * time.Second

// busyPause is the least delay before a request is retried after an engine's queue
// was full. A random delay of up to the same length is added, so that requests do
// not retry at the same time.
const busyPause = 50 * time.Millisecond

// requestExecutor runs one request through its attempts at upstreams. It is used by
// one goroutine.
type requestExecutor struct {
	server   *Server
	active   *activeRequest
	rec      *journal.Record
	timeouts progressTimeouts
	// mayHaveRun is true once an engine may have run the request.
	mayHaveRun bool
	// version is the version that produced the recorded events.
	version string
	// domain is the failure domain of the last upstream.
	domain string
	// upstream is the name of the last upstream.
	upstream string
	// timing accumulates the token times of all attempts.
	timing   requestTiming
	priority int
	excluded []string
	// noPrefix is true once an engine refused a request with a prefix of the
	// answer, or the answer cannot be sent as a prefix.
	noPrefix bool
	// migration is set while the answer migrates from an upstream that is leaving.
	migration *migration
	// migrationDisabled is true once the answer had to continue at an upstream
	// that is leaving. Later attempts are not interrupted for a migration.
	migrationDisabled bool
	// recomputeReason is why the last use of an upstream ended. Recomputed tokens
	// are counted under it.
	recomputeReason string
	// pendingCancels tracks cancellations at engines that have not completed.
	pendingCancels sync.WaitGroup
}

// execute runs the request of a record until it ends, and records its outcome
// unless another daemon has taken over the record.
func (s *Server) execute(ctx context.Context, c *activeRequest) {
	rec := c.record
	ctx, cancel := context.WithDeadlineCause(ctx, rec.Deadline, errDeadline)
	defer cancel()
	class := s.options.Config.Snapshot().Classes[rec.Class]
	r := &requestExecutor{
		server: s, active: c, rec: rec, timeouts: s.options.progressTimeoutsFor(class),
	}
	if class != nil {
		r.priority = class.PriorityOrDefault()
	}
	defer r.pendingCancels.Wait()
	outcome, p := r.run(ctx)
	if r.migration != nil && r.migration.state != nil {
		<-s.kvSlots
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		return
	case errors.Is(cause, errClosed) && s.options.Handoff != nil:
		// The backup still has the record, so another daemon can take it over.
		rec.MarkMoved(rec.Epoch()+1, "")
		return
	}
	if p != nil {
		p = p.WithRequestID(rec.ID)
	}
	if !rec.Finish(outcome, p) {
		return
	}
	s.metrics.countFinished(outcome)
	if s.options.Handoff != nil {
		s.options.Handoff.OnFinished(rec)
	}
	r.logEnd(outcome, p)
	if p == nil || !isCallerFault(p) {
		s.notifyObserver(r.summary(outcome, p))
	}
}

func (r *requestExecutor) summary(outcome journal.Outcome, p *problem.Problem) EndedRequest {
	return EndedRequest{
		RequestID: r.rec.ID, Workspace: r.rec.Workspace, Class: r.rec.Class, Route: r.rec.Route,
		Version: r.version, Domain: r.domain, Upstream: r.upstream,
		OK: outcome == journal.OutcomeDone, Shed: isShed(p),
		FirstToken: r.timing.firstToken, BetweenTokens: r.timing.meanGap(), Total: time.Since(r.rec.AcceptedAt),
	}
}

// isShed reports whether p refuses a call because of load.
func isShed(p *problem.Problem) bool {
	return p != nil && p.Execution == problem.ExecutionNotRun && (p.Code == problem.CodeOverloaded || p.Code == problem.CodeNoUpstream)
}

// logEnd logs the end of a failed request, and that of successful ones with the
// probability Options.LogShare.
func (r *requestExecutor) logEnd(outcome journal.Outcome, p *problem.Problem) {
	fields := []any{"request", r.rec.ID, "workspace", r.rec.Workspace, "class", r.rec.Class,
		"outcome", outcome, "route", r.rec.Route, "attempts", len(r.rec.Status().Attempts),
		"version", r.version, "domain", r.domain, "events", r.rec.LastEvent(), "ms", time.Since(r.rec.AcceptedAt).Milliseconds()}
	switch {
	case p != nil:
		r.server.options.Logger.Warn("request failed", append(fields, "code", p.Code)...)
	case rand.Float64() < r.server.options.LogShare:
		r.server.options.Logger.Info("request answered", fields...)
	}
}

func (r *requestExecutor) run(ctx context.Context) (journal.Outcome, *problem.Problem) {
	firstAttempt := 1
	if r.rec.Epoch() > 1 {
		// A record that was taken over was admitted by its former holder and
		// does not queue again. Its engine may still have the generation.
		firstAttempt = 2
		if attempts := r.rec.Status().Attempts; len(attempts) > 0 {
			last := attempts[len(attempts)-1]
			r.mayHaveRun, r.version, r.recomputeReason = true, last.Version, "takeover"
			if outcome, p, done := r.resumeTakenOver(ctx, last); done {
				return outcome, p
			}
		}
	}
	failures := 0
	for attempt := firstAttempt; ; attempt++ {
		if isComplete(r.rec.Events()) {
			return journal.OutcomeDone, nil
		}
		choice, err := r.choose(ctx, attempt)
		var result attemptResult
		switch {
		case err == nil:
			result = r.runAtUpstream(ctx, choice)
		case r.migration != nil && ctx.Err() == nil:
			choice = r.migration.from
			result = r.continueAtLeavingUpstream(ctx)
		default:
			return r.finishWithoutUpstream(ctx, err)
		}
		if result.reason != endUpstreamLeaving && result.reason != endBusy {
			failures++
		}
		switch {
		case result.reason == endDone:
			return journal.OutcomeDone, nil
		case result.reason == endUnrecoverable:
			return r.failureOutcome(result.problem)
		case result.reason == endCanceled || ctx.Err() != nil:
			return r.finishCanceled(ctx, choice.Upstream.Address)
		case result.reason == endBusy:
			// The request returns to admission, which has lowered its limit. This
			// does not count as an attempt.
			attempt--
			pause(ctx, busyPause+rand.N(busyPause))
		case failures >= r.server.options.MaxAttempts:
			return r.failureOutcome(problem.NewExecutionUnknown(http.StatusBadGateway, problem.CodeUpstreamFailed, "no engine completed the answer"))
		}
	}
}

func (r *requestExecutor) choose(ctx context.Context, attempt int) (*dispatch.Choice, error) {
	rec := r.rec
	if attempt == 1 {
		rec.SetState(journal.StateQueued)
	}
	last := int(rec.LastEvent())
	request := &dispatch.Request{
		ID: rec.ID, Workspace: rec.Workspace, Class: rec.Class, Route: rec.Route, Pool: rec.Pool,
		Chat: true, Idempotent: true, PromptTokens: rec.PromptTokens, MaxTokens: rec.MaxTokens,
		Blocks: rec.Blocks, AcceptedAt: rec.AcceptedAt, Deadline: rec.Deadline, Attempt: attempt,
		ResumedTokens: last, Exclude: r.excluded, Fingerprint: rec.Fingerprint,
	}
	if last > 0 || rec.Status().Delivered > 0 {
		request.PinVersion = r.version
		// An answer that has started does not queue behind new requests.
		request.Attempt = max(2, attempt)
	}
	choice, err := r.server.options.Chooser.Choose(ctx, request)
	if err != nil {
		return nil, err
	}
	// A late cancellation must not end the generation that starts next, which has
	// the same request identifier.
	r.pendingCancels.Wait()
	return choice, nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// finishWithoutUpstream returns the outcome of a request for which no upstream
// could be chosen.
func (r *requestExecutor) finishWithoutUpstream(ctx context.Context, err error) (journal.Outcome, *problem.Problem) {
	// A deadline that passes while the request is queued is a refusal because of
	// load: the problem from admission carries the time after which to retry.
	if ctx.Err() != nil && (r.mayHaveRun || !errors.Is(context.Cause(ctx), errDeadline)) {
		return r.finishCanceled(ctx, "")
	}
	p := asProblem(err, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream can take the request"))
	copied := *p
	return r.failureOutcome(&copied)
}

// finishCanceled returns the outcome of a request whose context has ended. It
// cancels the generation at address, if any, unless another daemon is to resume
// it.
func (r *requestExecutor) finishCanceled(ctx context.Context, address string) (journal.Outcome, *problem.Problem) {
	cause := context.Cause(ctx)
	if address != "" && (errors.Is(cause, errAbandoned) || errors.Is(cause, errDeadline)) {
		r.cancelAtEngine(address)
	}
	switch {
	case errors.Is(cause, errAbandoned):
		r.server.metrics.abandoned.Inc(1)
		return r.failureOutcome(problem.NewExecutionUnknown(499, problem.CodeInternal, "the caller left and did not come back"))
	case errors.Is(cause, errDeadline):
		return r.failureOutcome(problem.NewExecutionUnknown(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline of the class passed"))
	default:
		return r.failureOutcome(problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeLeaving, "the daemon ended"))
	}
}

// failureOutcome returns the outcome of a failed request and sets p.Execution according
// to whether an engine may have run it.
func (r *requestExecutor) failureOutcome(p *problem.Problem) (journal.Outcome, *problem.Problem) {
	if r.mayHaveRun {
		p.Execution = problem.ExecutionUnknown
		return journal.OutcomeFailed, p
	}
	p.Execution = problem.ExecutionNotRun
	return journal.OutcomeNotRun, p
}

// cancelAtEngine cancels the generation at an engine that will not be used again.
// It does not wait for the cancellation.
func (r *requestExecutor) cancelAtEngine(address string) {
	r.pendingCancels.Add(1)
	go func() {
		defer r.pendingCancels.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := r.server.options.Engine.Cancel(ctx, address, r.rec.ID); err != nil {
			r.server.options.Logger.Debug("failed to cancel generation at engine", "request", r.rec.ID, "upstream", address, "error", err)
		}
	}()
}
