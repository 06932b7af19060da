package dispatch

import (
	"context"
	"net/http"
	"time"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
	"rattantide/internal/routing"
)

// selectUpstream starts the attempt at a usable upstream of the pool. When
// there is none, it polls the table for up to Options.UpstreamWait, unless it is known that
// there will be none in that time.
func (d *Dispatcher) selectUpstream(ctx context.Context, class *api.Class, r *Request, release func(admission.Outcome)) (*Choice, error) {
	giveUpAt := d.opts.Now().Add(d.opts.UpstreamWait)
	for {
		view := d.opts.Config.Snapshot()
		preference := versionPreferenceFor(view, d.opts.Moves, r)
		upstreams := usableUpstreams(view, preference, r, d.opts.Table.Upstreams(r.Pool))
		if len(upstreams) > 0 {
			return d.startAttempt(class, r, preference.move, upstreams, release), nil
		}
		now := d.opts.Now()
		outlook := d.opts.Table.Outlook(r.Pool)
		if outlook.BackoffUntil.After(d.latestUsefulStart(class, r, giveUpAt)) {
			return nil, d.noUsable(r, d.returns.delay(r.Pool, outlook.BackoffUntil, now))
		}
		if !now.Before(giveUpAt) || outlook.AllLeaving {
			return nil, d.noUsable(r, noUpstreamRetryAfter)
		}
		timer := time.NewTimer(min(upstreamPollInterval, giveUpAt.Sub(now)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, problem.NewNotRun(http.StatusGatewayTimeout, problem.CodeDeadline,
				"no upstream became usable in time").WithRequestID(r.ID)
		}
	}
}

// latestUsefulStart returns the latest time until which waiting for an upstream is of use: a
// request that is refused if its target cannot be met does not wait beyond the target.
func (d *Dispatcher) latestUsefulStart(class *api.Class, r *Request, giveUpAt time.Time) time.Time {
	target := admissionRequest(class, r).FirstTarget
	if !d.opts.EnforceFirstTarget || target <= 0 || r.Attempt > 1 {
		return giveUpAt
	}
	if targetAt := r.AcceptedAt.Add(target); targetAt.Before(giveUpAt) {
		return targetAt
	}
	return giveUpAt
}

// noUsable returns the error of a request whose pool has no usable upstream.
func (d *Dispatcher) noUsable(r *Request, retryAfter time.Duration) error {
	d.noUpstream.Inc(1)
	return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream,
		"no upstream of pool "+r.Pool+" is usable").WithRetryAfter(retryAfter).WithRequestID(r.ID)
}

// startAttempt picks one of the upstreams by the routing policy and records the
// attempt. upstreams must not be empty.
func (d *Dispatcher) startAttempt(class *api.Class, r *Request, move *configsync.Move, upstreams []membership.Upstream, release func(admission.Outcome)) *Choice {
	now := d.opts.Now()
	suspect := d.opts.Admission.IsSuspected(r.Fingerprint)
	if suspect {
		upstreams = d.suspects.withoutSuspects(upstreams)
	}
	if r.Attempt > 1 {
		upstreams = d.failures.withoutSimilarFailures(upstreams, r.Exclude, now)
	}
	req := routingRequest(r, d.opts.Rand(), now)
	tracker := d.opts.Trackers.Pool(r.Pool)
	buffer := d.buffers.Get().(*[]routing.Candidate)
	*buffer = tracker.Candidates(req, upstreams, (*buffer)[:0])
	index := d.pick(class, r, req, *buffer)
	picked := (*buffer)[index]
	d.buffers.Put(buffer)
	a := &attempt{
		d: d, request: *r, class: class, move: move, upstream: upstreams[index],
		load: picked.Running, sentAttempt: tracker.RecordSent(req, &picked), tracker: tracker,
		startedAt: now, release: release, isSuspect: suspect,
	}
	if suspect {
		d.suspects.recordStart(a.upstream.Name)
	}
	d.started.Inc(1)
	if d.opts.Starts != nil {
		d.opts.Starts.ObserveStart(r.Pool, a.upstream.Version, r.Route)
	}
	d.attempts.recordStart(r, a.upstream.Name)
	d.opts.Admission.RecordUpstream(r.ID, a.upstream.Name, a.upstream.Version)
	choice := &Choice{
		Upstream: a.upstream,
		Version:  a.upstream.Version,
		Priority: requestPriority(class, r),
		Done:     a.done,
	}
	if picked.Slots > 0 {
		choice.Pace, choice.Speed, choice.StateAge = picked.Pace, picked.Speed, picked.StateAge
	}
	if r.Chat {
		choice.FirstToken = a.firstToken
	}
	return choice
}
