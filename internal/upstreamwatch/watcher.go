package upstreamwatch

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/api"
	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
	"rattantide/internal/routing"
	"rattantide/internal/telemetry"
)

// Watcher polls upstreams for load reports and cache events.
type Watcher struct {
	opts Options

	loads, events, failures, invalid tally.Counter
}

// New returns a Watcher that does nothing until Run.
func New(opts Options) *Watcher {
	if opts.BytesPerSecond <= 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	if opts.MinInterval <= 0 {
		opts.MinInterval = DefaultMinInterval
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.Logger == nil {
		opts.Logger = telemetry.Discard()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	scope := opts.Scope.SubScope("upstreamwatch")
	return &Watcher{
		opts:     opts,
		loads:    scope.Counter("load_reports"),
		events:   scope.Counter("cache_events"),
		failures: scope.Counter("failures"),
		invalid:  scope.Counter("invalid_blocks"),
	}
}

// Run polls until ctx ends and returns its error. Load reports and cache events have
// separate budgets, so that a large response with events does not delay the load
// reports.
func (w *Watcher) Run(ctx context.Context) error {
	rate := float64(w.opts.BytesPerSecond)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.poll(ctx, rate*(1-eventBudgetShare), w.subsetUpstreams, w.pollLoad) })
	group.Go(func() error { return w.poll(ctx, rate*eventBudgetShare, w.chatUpstreams, w.pollEvents) })
	return group.Wait()
}

// subsetUpstreams returns the upstreams of all pools that this daemon sends work to.
func (w *Watcher) subsetUpstreams() []membership.Upstream {
	var out []membership.Upstream
	for _, pool := range w.opts.Table.Pools() {
		out = append(out, w.opts.Table.Upstreams(pool)...)
	}
	return out
}

// chatUpstreams returns the upstreams that this daemon sends work to in pools with a
// prompt cache.
func (w *Watcher) chatUpstreams() []membership.Upstream {
	var out []membership.Upstream
	view := w.opts.Config.Snapshot()
	for _, pool := range w.opts.Table.Pools() {
		if p := view.Pools[pool]; p != nil && p.Type == api.PoolChat {
			out = append(out, w.opts.Table.Upstreams(pool)...)
		}
	}
	return out
}

// poll calls fetch for the upstreams in turn until ctx ends, at most
// maxConcurrentPolls at a time and limited to rate bytes per second. fetch must return
// the number of bytes that the call took, at least approximately.
func (w *Watcher) poll(ctx context.Context, rate float64, upstreams func() []membership.Upstream,
	fetch func(context.Context, membership.Upstream) int) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	finished := make(chan int, maxConcurrentPolls)
	inFlight := 0
	budget := newByteBudget(rate)
	order := rotation{minInterval: w.opts.MinInterval, polledAt: map[string]time.Time{}}
	for {
		now := time.Now()
		wait := budget.wait(now)
		if inFlight >= maxConcurrentPolls {
			wait = w.opts.CallTimeout
		} else if wait == 0 {
			var u *membership.Upstream
			if u, wait = order.next(upstreams(), now); u != nil {
				// The minimum cost is charged before the call, so that calls in flight
				// count. The rest is charged when the call has finished.
				budget.charge(eventCallBytes, now)
				inFlight++
				target := *u
				calls.Go(func() { finished <- fetch(ctx, target) })
				continue
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case bytes := <-finished:
			inFlight--
			budget.charge(bytes-eventCallBytes, time.Now())
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (w *Watcher) pollLoad(ctx context.Context, u membership.Upstream) int {
	ctx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
	defer cancel()
	load, err := w.opts.Fetch.Load(ctx, u.Address)
	if err != nil {
		w.recordFailure(u, err)
		return loadCallBytes
	}
	// The report may say that the upstream is draining; the table then excludes it
	// from new work.
	w.opts.Table.SetLoad(u.Name, *load)
	w.loads.Inc(1)
	return loadCallBytes
}

func (w *Watcher) pollEvents(ctx context.Context, u membership.Upstream) int {
	ctx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
	defer cancel()
	tracker := w.opts.Trackers.Pool(u.Pool)
	response, err := w.opts.Fetch.CacheEvents(ctx, u.Address, tracker.LastEvent(u.Name))
	if err != nil {
		w.recordFailure(u, err)
		return eventCallBytes
	}
	events := make([]routing.CacheEvent, 0, len(response.Events))
	for _, e := range response.Events {
		block, err := engineclient.ParseBlock(e.Block)
		if err != nil {
			w.invalid.Inc(1)
			w.opts.Logger.Warn("cache event with an invalid block ignored", "upstream", u.Name, "seq", e.Seq)
			continue
		}
		events = append(events, routing.CacheEvent{Seq: e.Seq, Stored: e.Type == engineclient.CacheStored, Block: block})
	}
	tracker.ApplyCacheEvents(u.Name, response.Seq, events)
	w.events.Inc(int64(len(events)))
	return eventCallBytes + bytesPerEvent*len(response.Events)
}

// recordFailure counts a failed poll. A refused connection is recorded as evidence
// about the upstream. A slow response is not: requests from callers give better
// evidence of that.
func (w *Watcher) recordFailure(u membership.Upstream, err error) {
	w.failures.Inc(1)
	var e *engineclient.Error
	if errors.As(err, &e) && e.NotRun && e.Status == 0 && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		w.opts.Table.Observe(u.Name, membership.EvidenceRefused)
	}
}
