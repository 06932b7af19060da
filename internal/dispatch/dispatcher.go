package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
	"rattantide/internal/routing"
)

const (
	// upstreamPollInterval is the interval at which a waiting attempt checks
	// for a usable upstream.
	upstreamPollInterval = 50 * time.Millisecond
	// noUpstreamRetryAfter is roughly the time until a replacement appears in
	// the instance list.
	noUpstreamRetryAfter = 2 * time.Second
	budgetRetryAfter     = time.Second
)

// Dispatcher implements Chooser. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	attempts attemptTracker
	suspects suspectTracker
	failures failureTracker
	returns  returnOrder
	buffers  sync.Pool

	started, moved, resumed, retried, hedged, noUpstream tally.Counter
}

var _ Chooser = (*Dispatcher)(nil)

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rand == nil {
		opts.Rand = rand.Uint64
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Admission == nil {
		opts.Admission = admission.New(admission.Options{Scope: opts.Scope, Now: opts.Now})
	}
	if opts.Trackers == nil {
		opts.Trackers = &routing.Trackers{}
	}
	if opts.Policy == nil {
		opts.Policy = routing.NewCost()
	}
	if opts.Moves == nil {
		opts.Moves = storedShare{}
	}
	if opts.UpstreamWait <= 0 {
		opts.UpstreamWait = DefaultUpstreamWait
	}
	scope := opts.Scope.SubScope("dispatch")
	return &Dispatcher{
		opts:       opts,
		buffers:    sync.Pool{New: func() any { return new([]routing.Candidate) }},
		started:    scope.Counter("attempts"),
		moved:      scope.Counter("moved_attempts"),
		resumed:    scope.Counter("resumed_attempts"),
		retried:    scope.Counter("retries"),
		hedged:     scope.Counter("hedges"),
		noUpstream: scope.Counter("no_upstream"),
	}
}

// Choose implements Chooser.
func (d *Dispatcher) Choose(ctx context.Context, r *Request) (*Choice, error) {
	view := d.opts.Config.Snapshot()
	class := view.Classes[r.Class]
	if class == nil {
		class = &api.Class{}
	}
	if err := d.checkStartable(r); err != nil {
		return nil, err
	}
	d.reportUpstreams(r.Pool)
	release, err := d.admit(ctx, class, r)
	if err != nil {
		return nil, err
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	choice, err := d.selectUpstream(ctx, class, r, release)
	if err != nil {
		release(admission.Outcome{})
		return nil, err
	}
	return choice, nil
}

// reportUpstreams updates admission with the number of usable upstreams of the
// pool and the load that they report. During a version move, only those of the version
// that gets most requests count: the others stand there, but take few.
func (d *Dispatcher) reportUpstreams(pool string) {
	upstreams := d.opts.Table.Upstreams(pool)
	if m := d.opts.Config.Snapshot().RunningMove(pool); m != nil {
		version := m.Spec.From
		if d.opts.Moves.Share(m) > 0.5 {
			version = m.Spec.To
		}
		if serving := filterByVersion(upstreams, version); len(serving) > 0 {
			upstreams = serving
		}
	}
	running, waiting := membership.SumLoad(upstreams)
	d.opts.Admission.SetUpstreams(pool, len(upstreams), running, waiting)
}

// checkStartable returns an error when the request is quarantined or its
// deadline has passed.
func (d *Dispatcher) checkStartable(r *Request) error {
	if d.opts.Admission.IsQuarantined(r.Fingerprint) {
		return problem.NewNotRun(http.StatusUnprocessableEntity, problem.CodeQuarantined,
			"the request crashed two upstreams and is not tried on others").WithRequestID(r.ID)
	}
	if !r.Deadline.IsZero() && !d.opts.Now().Before(r.Deadline) {
		return problem.NewNotRun(http.StatusGatewayTimeout, problem.CodeDeadline,
			"the deadline passed before the attempt could start").WithRequestID(r.ID)
	}
	return nil
}

// admit passes a first attempt through admission and a later one through the
// budgets. Moved attempts consume no budget. The returned function ends the
// attempt.
func (d *Dispatcher) admit(ctx context.Context, class *api.Class, r *Request) (func(admission.Outcome), error) {
	ar := d.targetedRequest(class, r)
	if r.Attempt <= 1 {
		if d.opts.RepeatBudget != nil {
			d.opts.RepeatBudget.RecordFirst(r.Pool)
		}
		return d.opts.Admission.Admit(ctx, ar)
	}
	if d.opts.RepeatBudget != nil {
		if r.ReachedAttempts > 0 && !d.opts.RepeatBudget.Take(r.Pool) {
			return nil, budgetExhausted(r, "the budget for repeats is used up")
		}
		return d.opts.Admission.AdmitImmediately(ar), nil
	}
	open, failed := d.attempts.lookup(r.ID)
	switch {
	case r.ResumedTokens > 0:
		// A partially delivered answer must be completed, even when the loss of
		// an upstream interrupts many answers at the same time. The retry
		// budget limits attempts without progress only.
		d.resumed.Inc(1)
	case failed:
		if !d.opts.Admission.TakeRetry(r.Class, class.RetryBudgetOrDefault()) {
			return nil, budgetExhausted(r, "the retry budget of the class is used up")
		}
		d.retried.Inc(1)
	case d.hasUsable(r.Pool, open):
		if !d.opts.Admission.TakeHedge(r.Class, class.HedgeBudgetOrDefault()) {
			return nil, budgetExhausted(r, "the hedge budget of the class is used up")
		}
		d.hedged.Inc(1)
	default:
		// The previous attempt was moved: its upstream is leaving, or the
		// attempt ran on another daemon.
		d.moved.Inc(1)
	}
	return d.opts.Admission.AdmitImmediately(ar), nil
}

func budgetExhausted(r *Request, detail string) error {
	return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeOverloaded, detail).
		WithRetryAfter(budgetRetryAfter).WithRequestID(r.ID)
}

// hasUsable reports whether any of the candidates is a usable upstream of the
// pool.
func (d *Dispatcher) hasUsable(pool string, candidates []string) bool {
	if len(candidates) == 0 {
		return false
	}
	for _, u := range d.opts.Table.Upstreams(pool) {
		if containsName(candidates, u.Name) {
			return true
		}
	}
	return false
}

// admissionRequest returns the request as admission needs it. For plain services, and
// for classes without a target for the first token, the target for the whole answer
// is the first target.
func admissionRequest(class *api.Class, r *Request) admission.Request {
	first := class.Target.FirstToken
	if !r.Chat || first == 0 {
		first = class.Target.Answer
	}
	within := class.Target.Within
	if within == 0 {
		within = api.DefaultWithin
	}
	return admission.Request{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class, Pool: r.Pool,
		Priority: requestPriority(class, r), Cost: float64(r.PromptTokens + r.MaxTokens),
		AcceptedAt: r.AcceptedAt, Deadline: r.Deadline, FirstTarget: first.AsDuration(), GapTarget: class.Target.BetweenTokens.AsDuration(),
		Within: within, Key: r.Key,
	}
}

// targetedRequest returns the request as admission needs it, with the time at which the first
// answer is due if targets are enforced.
func (d *Dispatcher) targetedRequest(class *api.Class, r *Request) admission.Request {
	ar := admissionRequest(class, r)
	if d.opts.EnforceFirstTarget && ar.FirstTarget > 0 {
		ar.FirstDeadline = r.AcceptedAt.Add(ar.FirstTarget)
	}
	return ar
}

// routingRequest returns the request as policies need it.
func routingRequest(r *Request, random uint64, now time.Time) *routing.Request {
	return &routing.Request{
		PromptTokens: r.PromptTokens + r.ResumedTokens,
		MaxTokens:    max(0, r.MaxTokens-r.ResumedTokens),
		Blocks:       r.Blocks,
		SharedBlocks: r.SharedBlocks,
		Rand:         random,
		Now:          now,
	}
}

// requestPriority returns the priority of the request, or that of its class
// when the request has none.
func requestPriority(class *api.Class, r *Request) int {
	if r.Priority != nil {
		return *r.Priority
	}
	return class.PriorityOrDefault()
}
