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

// cancelTimeout bounds a cancellation at an engine; the engine drops the
// generation by itself later if it fails.
const cancelTimeout = 2 * time.Second

// busyPause is the least time before an engine that is full is asked again, and
// the range of what is added by chance so that requests do not return together.
const busyPause = 50 * time.Millisecond

// runner carries one request through its attempts. It is used by one goroutine.
type runner struct {
	server *Server
	call   *call
	rec    *journal.Record
	limits limits
	// ran is set once an engine may have run the request.
	ran bool
	// version is the one that the events held come from.
	version string
	// domain is the failure domain of the last upstream, for logs.
	domain string
	// upstream is the last upstream that was used.
	upstream string
	// timing sums up the tokens of all attempts.
	timing   timing
	priority int
	exclude  []string
	// noPrefix is set once an engine refused the prefix form, or the answer
	// cannot be given as a prefix.
	noPrefix bool
	// moving is set while the answer moves away from an upstream that is leaving.
	moving *moving
	// staying is set once the answer stays at such an upstream to its end.
	staying bool
	// lost is why the last attempt ended, as the reason of recomputed tokens.
	lost string
	// cancels counts cancellations at engines that are under way.
	cancels sync.WaitGroup
}

// work runs a record to its end.
func (s *Server) work(ctx context.Context, c *call) {
	rec := c.record
	ctx, cancel := context.WithDeadlineCause(ctx, rec.Deadline, errDeadline)
	defer cancel()
	class := s.options.Config.Snapshot().Classes[rec.Class]
	r := &runner{
		server: s, call: c, rec: rec, limits: s.options.limitsFor(class),
	}
	if class != nil {
		r.priority = class.PriorityOrDefault()
	}
	defer r.cancels.Wait()
	outcome, p := r.run(ctx)
	if r.moving != nil && r.moving.state != nil {
		<-s.kvSlots
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		return
	case errors.Is(cause, errClosed) && s.options.Handoff != nil:
		// The backup still has the record: callers find it at other daemons.
		rec.Move(rec.Epoch()+1, "")
		return
	}
	if p != nil {
		p = p.WithRequestID(rec.ID)
	}
	if !rec.Finish(outcome, p) {
		return
	}
	s.metrics.finished(outcome)
	if s.options.Handoff != nil {
		s.options.Handoff.Finished(rec)
	}
	r.logEnd(outcome, p)
	if p == nil || !isCallersFault(p) {
		s.ended(r.observation(outcome, p))
	}
}

func (r *runner) observation(outcome journal.Outcome, p *problem.Problem) Ended {
	return Ended{
		RequestID: r.rec.ID, Workspace: r.rec.Workspace, Class: r.rec.Class, Route: r.rec.Route,
		Version: r.version, Domain: r.domain, Upstream: r.upstream,
		OK: outcome == journal.OutcomeDone, Shed: isShed(p),
		FirstToken: r.timing.first, BetweenTokens: r.timing.meanGap(), Total: time.Since(r.rec.AcceptedAt),
	}
}

// isShed reports whether a problem refuses a call because of load.
func isShed(p *problem.Problem) bool {
	return p != nil && p.Ran == problem.RanNotRun && (p.Code == problem.CodeOverloaded || p.Code == problem.CodeNoUpstream)
}

// logEnd writes one line about a failed request, and about a share of the
// others.
func (r *runner) logEnd(outcome journal.Outcome, p *problem.Problem) {
	fields := []any{"request", r.rec.ID, "workspace", r.rec.Workspace, "class", r.rec.Class,
		"outcome", outcome, "route", r.rec.Route, "attempts", len(r.rec.Status().Attempts),
		"version", r.version, "domain", r.domain, "events", r.rec.Last(), "ms", time.Since(r.rec.AcceptedAt).Milliseconds()}
	switch {
	case p != nil:
		r.server.options.Logger.Warn("request failed", append(fields, "code", p.Code)...)
	case rand.Float64() < r.server.options.LogShare:
		r.server.options.Logger.Info("request answered", fields...)
	}
}

func (r *runner) run(ctx context.Context) (journal.Outcome, *problem.Problem) {
	first := 1
	if r.rec.Epoch() > 1 {
		// A record that was taken over has been accepted before, so that it does
		// not queue again. Its engine may still have the generation.
		first = 2
		if attempts := r.rec.Status().Attempts; len(attempts) > 0 {
			last := attempts[len(attempts)-1]
			r.ran, r.version, r.lost = true, last.Version, "takeover"
			if outcome, p, done := r.resumeAdopted(ctx, last); done {
				return outcome, p
			}
		}
	}
	failures := 0
	for tried := first; ; tried++ {
		if complete(r.rec.Events()) {
			return journal.OutcomeDone, nil
		}
		choice, err := r.choose(ctx, tried)
		var end result
		switch {
		case err == nil:
			end = r.use(ctx, choice)
		case r.moving != nil && ctx.Err() == nil:
			choice = r.moving.from
			end = r.stay(ctx)
		default:
			return r.notChosen(ctx, err)
		}
		if end.ending != endLeaving && end.ending != endBusy {
			failures++
		}
		switch {
		case end.ending == endDone:
			return journal.OutcomeDone, nil
		case end.ending == endFinal:
			return r.failed(end.problem)
		case end.ending == endStopped || ctx.Err() != nil:
			return r.stopped(ctx, choice.Upstream.Address)
		case end.ending == endBusy:
			// The request goes back to admission, whose limit has shrunk.
			tried--
			pause(ctx, busyPause+rand.N(busyPause))
		case failures >= r.server.options.MaxAttempts:
			return r.failed(problem.Unknown(http.StatusBadGateway, problem.CodeUpstreamFailed, "no engine completed the answer"))
		}
	}
}

func (r *runner) choose(ctx context.Context, tried int) (*dispatch.Choice, error) {
	rec := r.rec
	if tried == 1 {
		rec.SetState(journal.StateQueued)
	}
	last := int(rec.Last())
	request := &dispatch.Request{
		ID: rec.ID, Workspace: rec.Workspace, Class: rec.Class, Route: rec.Route, Pool: rec.Pool,
		Chat: true, Idempotent: true, PromptTokens: rec.PromptTokens, MaxTokens: rec.MaxTokens,
		Blocks: rec.Blocks, AcceptedAt: rec.AcceptedAt, Deadline: rec.Deadline, Attempt: tried,
		ResumedTokens: last, Exclude: r.exclude, Fingerprint: rec.Fingerprint,
	}
	if last > 0 || rec.Status().Delivered > 0 {
		request.PinVersion = r.version
		// An answer that was begun does not queue behind new requests.
		request.Attempt = max(2, tried)
	}
	choice, err := r.server.options.Chooser.Choose(ctx, request)
	if err != nil {
		return nil, err
	}
	// A late cancellation must not end the generation that is about to start.
	r.cancels.Wait()
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

// notChosen ends the request because no upstream could be chosen.
func (r *runner) notChosen(ctx context.Context, err error) (journal.Outcome, *problem.Problem) {
	// A deadline that ends the wait for a place is a refusal for load: what
	// admission says of it advises when to come back.
	if ctx.Err() != nil && (r.ran || !errors.Is(context.Cause(ctx), errDeadline)) {
		return r.stopped(ctx, "")
	}
	p := asProblem(err, problem.NotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream can take the request"))
	copied := *p
	return r.failed(&copied)
}

// stopped ends the request because its context has ended. The generation at
// address, if any, is cancelled unless another daemon is to resume it.
func (r *runner) stopped(ctx context.Context, address string) (journal.Outcome, *problem.Problem) {
	cause := context.Cause(ctx)
	if address != "" && (errors.Is(cause, errAbandoned) || errors.Is(cause, errDeadline)) {
		r.cancelAt(address)
	}
	switch {
	case errors.Is(cause, errAbandoned):
		r.server.metrics.abandoned.Inc(1)
		return r.failed(problem.Unknown(499, problem.CodeInternal, "the caller left and did not come back"))
	case errors.Is(cause, errDeadline):
		return r.failed(problem.Unknown(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline of the class passed"))
	default:
		return r.failed(problem.Unknown(http.StatusServiceUnavailable, problem.CodeLeaving, "the daemon ended"))
	}
}

// failed says truthfully whether an engine may have run the request.
func (r *runner) failed(p *problem.Problem) (journal.Outcome, *problem.Problem) {
	if r.ran {
		p.Ran = problem.RanUnknown
		return journal.OutcomeFailed, p
	}
	p.Ran = problem.RanNotRun
	return journal.OutcomeNotRun, p
}

// cancelAt ends the generation at an engine that will not be asked again. It
// does not wait.
func (r *runner) cancelAt(address string) {
	r.cancels.Add(1)
	go func() {
		defer r.cancels.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := r.server.options.Engine.Cancel(ctx, address, r.rec.ID); err != nil {
			r.server.options.Logger.Debug("cancellation failed", "request", r.rec.ID, "upstream", address, "error", err)
		}
	}()
}
