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

// attempt is an attempt on its way.
type attempt struct {
	d         *Dispatcher
	request   Request
	class     *api.Class
	move      *configsync.Move
	upstream  membership.Upstream
	load      float64
	sent      routing.Sent
	tracker   *routing.Tracker
	startedAt time.Time
	release   func(admission.Outcome)
	once      sync.Once
	// suspect says that the request was on an upstream that crashed.
	suspect bool
	// firstReported is set by firstToken, which runs before done.
	firstReported bool
}

// firstToken passes on the time to the first token.
func (a *attempt) firstToken(first time.Duration) {
	a.firstReported = true
	a.tracker.FirstToken(a.sent)
	if a.move != nil && a.request.Chat {
		sample := a.moveSample(a.d.opts.Now())
		sample.Open, sample.Latency = true, first
		a.d.opts.Moves.Observe(sample)
	}
	a.d.opts.Admission.FirstToken(admissionRequest(a.class, &a.request), first)
}

// done frees the place of the attempt and passes on what was seen.
func (a *attempt) done(res Result) { a.once.Do(func() { a.finish(res) }) }

func (a *attempt) finish(res Result) {
	now := a.d.opts.Now()
	ok := res.Status == StatusOK
	a.tracker.Ended(a.sent, routing.Feedback{
		Now: now, OK: ok, Failed: failed(res.Status), FirstToken: res.FirstToken, FirstReported: a.firstReported,
		PromptTokens: res.PromptTokens, CachedTokens: res.CachedTokens,
	})
	if a.suspect {
		a.d.suspects.ended(a.upstream.Name)
	}
	a.d.attempts.ended(a.request.ID, a.upstream.Name, a.countsAsFailure(res))
	// Between two arrivals only ends tell admission about the reports; a burst
	// would otherwise keep the upstreams' queues filled to its end.
	a.d.reportUpstreams(a.request.Pool)
	a.release(admission.Outcome{OK: ok, First: a.latency(res), FirstReported: a.firstReported, Gap: res.MeanGap, Total: res.Total})
	if res.Status == StatusCrash && !a.wasLeaving() {
		a.d.opts.Admission.Crashed(a.request.Fingerprint, a.upstream.Name)
	}
	if res.Status == StatusBusy {
		a.d.opts.Admission.Busy(a.request.Pool)
	}
	a.feedMembership(res, now)
	a.feedMove(res, now)
	if a.d.opts.Observer != nil {
		a.d.opts.Observer.Observe(a.observation(res))
	}
}

// failed reports whether the upstream failed the attempt.
func failed(status Status) bool {
	return status == StatusError || status == StatusCrash || status == StatusTimeout
}

// wasLeaving reports whether the upstream was known to leave: its end then says
// nothing about the request.
func (a *attempt) wasLeaving() bool {
	known, ok := a.d.opts.Table.Upstream(a.upstream.Name)
	return ok && known.Leaving
}

// countsAsFailure reports whether a further attempt is a retry. A draining
// upstream refuses without having done any work, so that going elsewhere adds
// no load.
func (a *attempt) countsAsFailure(res Result) bool {
	switch res.Status {
	case StatusError, StatusCrash, StatusTimeout:
		return true
	case StatusRefused:
		return !res.Draining
	}
	return false
}

// latency is the time that the class's first target is about.
func (a *attempt) latency(res Result) time.Duration {
	if !a.request.Chat || a.class.Target.FirstToken == 0 {
		return res.Total
	}
	return res.FirstToken
}

func (a *attempt) feedMembership(res Result, now time.Time) {
	if a.d.opts.Evidence == nil || res.Status == StatusBusy || (!res.Draining && (res.Status == StatusCanceled || res.Status == StatusMoved)) {
		return
	}
	a.d.opts.Evidence.Observe(a.upstream.Name, Seen{
		OK:       res.Status == StatusOK || res.Status == StatusError,
		Draining: res.Draining,
		Lost:     res.Status == StatusCrash || res.Status == StatusTimeout || (res.Status == StatusRefused && !res.Draining),
	}, now)
}

func (a *attempt) feedMove(res Result, now time.Time) {
	if a.move == nil {
		return
	}
	sample := a.moveSample(now)
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

func (a *attempt) moveSample(now time.Time) MoveSample {
	return MoveSample{
		Move: a.move, Version: a.upstream.Version, Route: a.request.Route, Upstream: a.upstream.Name,
		Load: a.load, UncachedTokens: a.sent.Uncached(), StartedAt: a.startedAt, EndedAt: now,
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
