package server

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
)

// runAtUpstream runs attempts at the chosen upstream until the answer is complete
// or another upstream is needed.
func (r *requestExecutor) runAtUpstream(ctx context.Context, choice *dispatch.Choice) attemptResult {
	if r.wouldMixVersions(choice.Version) {
		r.excluded = append(r.excluded, choice.Upstream.Name)
		choice.Done(dispatch.Result{Status: dispatch.StatusCanceled})
		return attemptResult{reason: endMismatch}
	}
	mode := r.modeFor(choice.Version)
	if r.migration != nil && r.completeMigration(ctx, choice) {
		mode = modeResume
	}
	recomputed := 0
	if r.mayHaveRun && mode != modeResume {
		recomputed = r.tokensToRecompute()
	}
	return r.runAttempts(ctx, choice, mode, recomputed)
}

// tokensToRecompute returns how many tokens an engine has to compute, prompt
// included, to reproduce the state after the last recorded event.
func (r *requestExecutor) tokensToRecompute() int { return r.rec.PromptTokens + int(r.rec.LastEvent()) }

// wouldMixVersions reports whether the caller has received events that are not in
// this daemon's record and that the given version cannot reproduce, because
// another version produced them.
func (r *requestExecutor) wouldMixVersions(version string) bool {
	status := r.rec.Status()
	return r.version != "" && version != r.version && status.Delivered > status.Events
}

// runAttempts runs attempts at the chosen upstream, the first of them in the given
// mode. recomputed is the number of tokens that the first attempt computes again.
// It reports the result to the chooser.
func (r *requestExecutor) runAttempts(ctx context.Context, choice *dispatch.Choice, mode attemptMode, recomputed int) attemptResult {
	measurement := &upstreamMeasurement{startedAt: time.Now(), onFirstToken: choice.FirstToken, recomputed: recomputed}
	resumes := 0
	streamBroken := false
	var result attemptResult
	for {
		number := r.rec.BeginAttempt(choice.Upstream.Name, choice.Upstream.Address, choice.Version)
		if number == 0 {
			result = attemptResult{reason: endCanceled}
			break
		}
		if r.server.options.Handoff != nil {
			r.server.options.Handoff.OnAttempted(r.rec)
		}
		before := r.rec.LastEvent()
		if mode == modeStart || before == 0 {
			r.version = choice.Version
		}
		result = r.runAttempt(ctx, choice, number, mode, resumes > 0, measurement)
		if (result.reason == endStreamBroken || result.reason == endStalled) && isComplete(r.rec.Events()) {
			// Only the [DONE] event was lost.
			result.reason = endDone
		}
		r.server.metrics.countAttempt(dispatchStatus(result, ctx), mode)
		r.server.options.Logger.Debug("attempt ended", "request", r.rec.ID, "workspace", r.rec.Workspace,
			"class", r.rec.Class, "attempt", number, "upstream", choice.Upstream.Name, "version", choice.Version,
			"domain", choice.Upstream.Domain, "mode", mode, "status", dispatchStatus(result, ctx), "error", result.err)
		measurement.draining = measurement.draining || result.draining
		measurement.backoff = max(measurement.backoff, result.backoff)
		if result.reason == endUnknownRequest && streamBroken {
			// An engine retains a generation whose connection broke. An engine that
			// no longer has the generation has crashed and restarted.
			result.reason = endUnreachable
			break
		}
		streamBroken = result.reason == endStreamBroken
		if r.rec.LastEvent() > before {
			resumes = 0
		}
		next, retry := r.retryMode(choice.Upstream, mode, result, resumes)
		if !retry || ctx.Err() != nil {
			break
		}
		if next == modeResume || next == modeStart {
			resumes++
		} else if result.reason == endUnknownRequest {
			measurement.recomputed += r.tokensToRecompute()
		}
		mode = next
	}
	r.excludeUpstream(ctx, choice, result)
	r.domain, r.upstream = choice.Upstream.Domain, choice.Upstream.Name
	r.timing.add(r.rec.AcceptedAt, measurement)
	var final []byte
	if result.reason == endDone {
		if events := r.rec.Events(); len(events) > 0 {
			final = events[len(events)-1]
		}
	}
	reported := measurement.dispatchResult(dispatchStatus(result, ctx), final)
	r.server.metrics.countRecomputed(r.recomputeReason, reported.RecomputedTokens)
	r.recomputeReason = string(reported.Status)
	choice.Done(reported)
	if result.reason == endUpstreamLeaving && ctx.Err() == nil {
		r.prepareMigration(ctx, choice)
	}
	return result
}

// modeFor returns the mode in which the answer is continued at an engine that has
// no generation of it.
func (r *requestExecutor) modeFor(version string) attemptMode {
	switch {
	case r.rec.LastEvent() == 0:
		return modeStart
	case version != r.version && r.rec.Restart():
		// No event was delivered, so the whole answer can come from the new version.
		return modeStart
	case r.noPrefix:
		return modeRegenerate
	}
	return modePrefix
}

// retryMode returns the mode of the next attempt at the same engine. It returns
// false if another upstream is needed.
func (r *requestExecutor) retryMode(upstream membership.Upstream, mode attemptMode, result attemptResult, resumes int) (attemptMode, bool) {
	switch result.reason {
	case endStreamBroken, endStalled:
		if resumes >= r.server.options.MaxResumes || !r.isUsable(upstream) {
			return 0, false
		}
		if r.rec.LastEvent() > 0 {
			return modeResume, true
		}
		// Without an event there is nothing to resume after, but an engine that
		// has the generation recognizes the request identifier. Only one retry is
		// made, because a request that crashes engines before the first event
		// would crash this one at each retry.
		return modeStart, resumes == 0
	case endPrefixRefused:
		r.noPrefix = true
		return modeRegenerate, true
	case endUnknownRequest:
		return r.modeFor(r.version), mode == modeResume
	}
	return 0, false
}

// isUsable reports whether the membership table lists the upstream and it is not
// leaving.
func (r *requestExecutor) isUsable(upstream membership.Upstream) bool {
	known, ok := r.server.options.Members.Upstream(upstream.Name)
	return ok && !known.Leaving
}

// excludeUpstream excludes an upstream that did not complete the answer from
// further attempts, and cancels a generation that may still run there.
func (r *requestExecutor) excludeUpstream(ctx context.Context, choice *dispatch.Choice, result attemptResult) {
	switch result.reason {
	case endDone, endCanceled, endUnrecoverable, endBusy:
		return
	}
	r.excluded = append(r.excluded, choice.Upstream.Name)
	// An engine whose stream broke or stalled may still be generating.
	switch result.reason {
	case endStreamBroken, endStalled, endMismatch, endError:
		if ctx.Err() == nil {
			r.cancelAtEngine(choice.Upstream.Address)
		}
	}
}

// resumeTakenOver continues a record that was taken over, at the engine that its
// former holder used last. It returns false if another upstream is needed.
func (r *requestExecutor) resumeTakenOver(ctx context.Context, last journal.Attempt) (journal.Outcome, *problem.Problem, bool) {
	upstream, ok := r.server.options.Members.Upstream(last.Upstream)
	if !ok || isComplete(r.rec.Events()) {
		return "", nil, false
	}
	mode := modeResume
	if r.rec.LastEvent() == 0 {
		mode = modeStart
	}
	choice := &dispatch.Choice{Upstream: upstream, Version: last.Version, Priority: r.priority, Done: func(dispatch.Result) {}}
	result := r.runAttempts(ctx, choice, mode, 0)
	switch {
	case result.reason == endDone:
		return journal.OutcomeDone, nil, true
	case result.reason == endUnrecoverable:
		outcome, p := r.failureOutcome(result.problem)
		return outcome, p, true
	case result.reason == endCanceled || ctx.Err() != nil:
		outcome, p := r.finishCanceled(ctx, upstream.Address)
		return outcome, p, true
	}
	return "", nil, false
}

// dispatchStatus returns the status under which the end of an attempt is reported.
func dispatchStatus(result attemptResult, ctx context.Context) dispatch.Status {
	switch result.reason {
	case endDone:
		return dispatch.StatusOK
	case endRefused:
		return dispatch.StatusRefused
	case endBusy:
		return dispatch.StatusBusy
	case endUnreachable, endStreamBroken:
		return dispatch.StatusCrash
	case endStalled:
		return dispatch.StatusTimeout
	case endUpstreamLeaving:
		return dispatch.StatusMoved
	case endCanceled:
		if errors.Is(context.Cause(ctx), errMoved) {
			return dispatch.StatusMoved
		}
		return dispatch.StatusCanceled
	}
	return dispatch.StatusError
}
