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

// use runs attempts at the chosen upstream until the answer is complete or
// another upstream is needed.
func (r *runner) use(ctx context.Context, choice *dispatch.Choice) result {
	if r.wouldMix(choice.Version) {
		r.exclude = append(r.exclude, choice.Upstream.Name)
		choice.Done(dispatch.Result{Status: dispatch.StatusCanceled})
		return result{ending: endDiffers}
	}
	how := r.modeFor(choice.Version)
	if r.moving != nil && r.arrive(ctx, choice) {
		how = modeResume
	}
	recomputed := 0
	if r.ran && how != modeResume {
		recomputed = r.toRecompute()
	}
	return r.useFrom(ctx, choice, how, recomputed)
}

// toRecompute is what an engine has to compute to get to where the answer is.
func (r *runner) toRecompute() int { return r.rec.PromptTokens + int(r.rec.Last()) }

// wouldMix reports whether the caller has events that this daemon does not
// hold, and that an engine of another version cannot produce again.
func (r *runner) wouldMix(version string) bool {
	status := r.rec.Status()
	return r.version != "" && version != r.version && status.Delivered > status.Events
}

// useFrom runs attempts in a mode to begin with. recomputed are the tokens that
// this use computes again.
func (r *runner) useFrom(ctx context.Context, choice *dispatch.Choice, how mode, recomputed int) result {
	measured := &seen{begun: time.Now(), onFirst: choice.FirstToken, recomputed: recomputed}
	resumes := 0
	lost := false
	var end result
	for {
		number := r.rec.BeginAttempt(choice.Upstream.Name, choice.Upstream.Address, choice.Version)
		if number == 0 {
			end = result{ending: endStopped}
			break
		}
		if r.server.options.Handoff != nil {
			r.server.options.Handoff.Attempted(r.rec)
		}
		before := r.rec.Last()
		if how == modeStart || before == 0 {
			r.version = choice.Version
		}
		end = r.attempt(ctx, choice, number, how, resumes > 0, measured)
		if (end.ending == endLost || end.ending == endSilent) && complete(r.rec.Events()) {
			// Only the mark of the end was lost.
			end.ending = endDone
		}
		r.server.metrics.attempt(status(end, ctx), how)
		r.server.options.Logger.Debug("attempt ended", "request", r.rec.ID, "workspace", r.rec.Workspace,
			"class", r.rec.Class, "attempt", number, "upstream", choice.Upstream.Name, "version", choice.Version,
			"domain", choice.Upstream.Domain, "mode", how, "status", status(end, ctx), "error", end.err)
		measured.draining = measured.draining || end.draining
		if end.ending == endForgotten && lost {
			// An engine keeps a generation whose connection broke. One that does
			// not know it any more has crashed and started again.
			end.ending = endGone
			break
		}
		lost = end.ending == endLost
		if r.rec.Last() > before {
			resumes = 0
		}
		next, again := r.again(choice.Upstream, how, end, resumes)
		if !again || ctx.Err() != nil {
			break
		}
		if next == modeResume || next == modeStart {
			resumes++
		} else if end.ending == endForgotten {
			measured.recomputed += r.toRecompute()
		}
		how = next
	}
	r.leave(ctx, choice, end)
	r.domain, r.upstream = choice.Upstream.Domain, choice.Upstream.Name
	r.timing.add(r.rec.AcceptedAt, measured)
	var final []byte
	if end.ending == endDone {
		if events := r.rec.Events(); len(events) > 0 {
			final = events[len(events)-1]
		}
	}
	seen := measured.result(status(end, ctx), final)
	r.server.metrics.recomputed(r.lost, seen.RecomputedTokens)
	r.lost = string(seen.Status)
	choice.Done(seen)
	if end.ending == endLeaving && ctx.Err() == nil {
		r.depart(ctx, choice)
	}
	return end
}

// modeFor decides how the answer is continued at an engine of a version.
func (r *runner) modeFor(version string) mode {
	switch {
	case r.rec.Last() == 0:
		return modeStart
	case version != r.version && r.rec.Restart():
		// Nothing was delivered, so that the answer can come from one version.
		return modeStart
	case r.noPrefix:
		return modeRegenerate
	}
	return modePrefix
}

// again decides whether the same engine is asked again, and how.
func (r *runner) again(upstream membership.Upstream, how mode, end result, resumes int) (mode, bool) {
	switch end.ending {
	case endLost, endSilent:
		if resumes >= r.server.options.MaxResumes || !r.alive(upstream) {
			return 0, false
		}
		if r.rec.Last() > 0 {
			return modeResume, true
		}
		// Without an event there is nothing to resume after; an engine that has
		// the generation recognises the same request. It is asked once only, as
		// a request that crashes engines before the first event would crash it
		// again each time.
		return modeStart, resumes == 0
	case endPrefixRefused:
		r.noPrefix = true
		return modeRegenerate, true
	case endForgotten:
		return r.modeFor(r.version), how == modeResume
	}
	return 0, false
}

// alive reports whether an upstream is worth asking again.
func (r *runner) alive(upstream membership.Upstream) bool {
	known, ok := r.server.options.Members.Upstream(upstream.Name)
	return ok && !known.Leaving
}

// leave ends the use of an upstream that did not complete the answer.
func (r *runner) leave(ctx context.Context, choice *dispatch.Choice, end result) {
	switch end.ending {
	case endDone, endStopped, endFinal, endBusy:
		return
	}
	r.exclude = append(r.exclude, choice.Upstream.Name)
	// An engine that broke off or fell silent may still be computing.
	switch end.ending {
	case endLost, endSilent, endDiffers, endError:
		if ctx.Err() == nil {
			r.cancelAt(choice.Upstream.Address)
		}
	}
}

// resumeAdopted continues a record that was taken over at the engine that its
// former holder used. done is false when another upstream is needed.
func (r *runner) resumeAdopted(ctx context.Context, last journal.Attempt) (journal.Outcome, *problem.Problem, bool) {
	upstream, ok := r.server.options.Members.Upstream(last.Upstream)
	if !ok || complete(r.rec.Events()) {
		return "", nil, false
	}
	how := modeResume
	if r.rec.Last() == 0 {
		how = modeStart
	}
	choice := &dispatch.Choice{Upstream: upstream, Version: last.Version, Priority: r.priority, Done: func(dispatch.Result) {}}
	end := r.useFrom(ctx, choice, how, 0)
	switch {
	case end.ending == endDone:
		return journal.OutcomeDone, nil, true
	case end.ending == endFinal:
		outcome, p := r.failed(end.problem)
		return outcome, p, true
	case end.ending == endStopped || ctx.Err() != nil:
		outcome, p := r.stopped(ctx, upstream.Address)
		return outcome, p, true
	}
	return "", nil, false
}

// status is how an attempt's end is reported.
func status(end result, ctx context.Context) dispatch.Status {
	switch end.ending {
	case endDone:
		return dispatch.StatusOK
	case endRefused:
		return dispatch.StatusRefused
	case endBusy:
		return dispatch.StatusBusy
	case endGone, endLost:
		return dispatch.StatusCrash
	case endSilent:
		return dispatch.StatusTimeout
	case endLeaving:
		return dispatch.StatusMoved
	case endStopped:
		if errors.Is(context.Cause(ctx), errMoved) {
			return dispatch.StatusMoved
		}
		return dispatch.StatusCanceled
	}
	return dispatch.StatusError
}
