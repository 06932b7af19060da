package dispatch

import (
	"sync"
	"time"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

// attempt is an open attempt of a request at an upstream. firstToken and done
// are the callbacks handed out in its Choice.
type attempt struct {
	d           *Dispatcher
	request     Request
	class       *api.Class
	move        *configsync.Move
	upstream    membership.Upstream
	load        float64
	sentAttempt routing.SentAttempt
	tracker     *routing.Tracker
	startedAt   time.Time
	release     func(admission.Outcome)
	once        sync.Once
	// isSuspect reports whether the request's content was running on an
	// upstream when that upstream crashed.
	isSuspect bool
	// firstReported is set by firstToken, which runs before done.
	firstReported bool
}

// firstToken reports the time to the first token to routing, admission and the
// running move.
func (a *attempt) firstToken(first time.Duration) {
	a.firstReported = true
	a.tracker.RecordFirstToken(a.sentAttempt)
	if a.move != nil && a.request.Chat {
		sample := a.newMoveSample(a.d.opts.Now())
		sample.InProgress, sample.Latency = true, first
		a.d.opts.Moves.Observe(sample)
	}
	a.d.opts.Admission.RecordFirstToken(admissionRequest(a.class, &a.request), first)
}

// done releases the concurrency slot of the attempt and reports its result to
// routing, admission, membership, the running move and the observer. Only the
// first call has an effect.
func (a *attempt) done(res Result) { a.once.Do(func() { a.finish(res) }) }

func (a *attempt) finish(res Result) {
	now := a.d.opts.Now()
	ok := res.Status == StatusOK
	a.tracker.RecordEnd(a.sentAttempt, routing.Feedback{
		Now: now, OK: ok, Failed: isUpstreamFailure(res.Status), FirstToken: res.FirstToken, FirstReported: a.firstReported,
		PromptTokens: res.PromptTokens, CachedTokens: res.CachedTokens,
	})
	if a.isSuspect {
		a.d.suspects.recordEnd(a.upstream.Name)
	}
	a.d.failures.record(a.upstream.Name, res.Status, now)
	a.d.attempts.recordEnd(a.request.ID, a.upstream.Name, a.countsAsFailure(res))
	// Refresh the reported load here as well: between two arrivals, only the
	// ends of attempts update it, and a burst would otherwise keep the
	// upstreams' queues filled until it ends.
	a.d.reportUpstreams(a.request.Pool)
	a.release(admission.Outcome{OK: ok, FirstLatency: a.latency(res), FirstReported: a.firstReported, MeanGap: res.MeanGap, Total: res.Total})
	if res.Status == StatusCrash && !a.isUpstreamLeaving() {
		a.d.opts.Admission.RecordCrash(a.request.Fingerprint, a.upstream.Name)
	}
	if res.Status == StatusBusy {
		a.d.opts.Admission.RecordBusy(a.request.Pool)
	}
	a.recordEvidence(res, now)
	a.recordMoveSample(res, now)
	if a.d.opts.Observer != nil {
		a.d.opts.Observer.Observe(a.observation(res))
	}
}

// isUpstreamFailure reports whether the status is a failure of the upstream.
func isUpstreamFailure(status Status) bool {
	return status == StatusError || status == StatusCrash || status == StatusTimeout
}

// isUpstreamLeaving reports whether the upstream was known to be leaving. A
// lost connection is then no evidence that the request crashed it.
func (a *attempt) isUpstreamLeaving() bool {
	known, ok := a.d.opts.Table.Upstream(a.upstream.Name)
	return ok && known.Leaving
}

// countsAsFailure reports whether the next attempt counts as a retry. A
// draining upstream refuses a request without having done any work, so a
// further attempt elsewhere adds no load.
func (a *attempt) countsAsFailure(res Result) bool {
	switch res.Status {
	case StatusError, StatusCrash, StatusTimeout:
		return true
	case StatusRefused:
		return !res.Draining
	}
	return false
}

// latency returns the duration that the class's first target applies to: the
// time to the first token, or the total time for plain services and classes
// without such a target.
func (a *attempt) latency(res Result) time.Duration {
	if !a.request.Chat || a.class.Target.FirstToken == 0 {
		return res.Total
	}
	return res.FirstToken
}

// recordEvidence reports what the result shows about the health of the upstream.
// Nothing is reported for a full queue, nor for an attempt that was canceled or
// moved while the upstream was not draining.
func (a *attempt) recordEvidence(res Result, now time.Time) {
	if a.d.opts.Evidence == nil {
		return
	}
	if res.Backoff > 0 {
		a.d.opts.Evidence.Observe(a.upstream.Name, UpstreamEvidence{Backoff: res.Backoff}, now)
	}
	if res.Status == StatusBusy || (!res.Draining && (res.Status == StatusCanceled || res.Status == StatusMoved)) {
		return
	}
	a.d.opts.Evidence.Observe(a.upstream.Name, UpstreamEvidence{
		Answered: res.Status == StatusOK || res.Status == StatusError,
		Draining: res.Draining,
		Lost:     res.Status == StatusCrash || res.Status == StatusTimeout || (res.Status == StatusRefused && !res.Draining),
	}, now)
}

// recordMoveSample reports the result to the running move, if there is one.
// Attempts that the upstream did not run, and those that were canceled or moved,
// are not reported.
func (a *attempt) recordMoveSample(res Result, now time.Time) {
	if a.move == nil {
		return
	}
	sample := a.newMoveSample(now)
	if res.PromptTokens > 0 {
		sample.UncachedTokens = max(0, res.PromptTokens-res.CachedTokens)
	}
	switch res.Status {
	case StatusOK:
		sample.Gap = res.MeanGap
		switch {
		case !a.request.Chat:
			sample.Latency = res.Total
		case !a.firstReported:
			sample.Latency = res.FirstToken
		}
	case StatusError, StatusCrash, StatusTimeout:
		sample.Failed = true
		sample.Lost = res.Status != StatusError
	default:
		return
	}
	a.d.opts.Moves.Observe(sample)
}

func (a *attempt) newMoveSample(now time.Time) MoveSample {
	return MoveSample{
		Move: a.move, Version: a.upstream.Version, Route: a.request.Route, Upstream: a.upstream.Name,
		Load: a.load, UncachedTokens: a.sentAttempt.UncachedTokens(), StartedAt: a.startedAt, EndedAt: now,
	}
}

func (a *attempt) observation(res Result) Observation {
	r := &a.request
	return Observation{
		RequestID: r.ID, Class: r.Class, Workspace: r.Workspace, Route: r.Route, Pool: r.Pool,
		Version: a.upstream.Version, Domain: a.upstream.Domain, Upstream: a.upstream.Name, Attempt: r.Attempt,
		Queued:     a.startedAt.Sub(r.AcceptedAt),
		FirstToken: res.FirstToken, BetweenTokens: res.MeanGap, Total: res.Total, Tokens: res.Tokens,
		PromptTokens: res.PromptTokens, CachedTokens: res.CachedTokens, RecomputedTokens: res.RecomputedTokens,
		Outcome: res.Status,
	}
}
