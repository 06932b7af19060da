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

// Watcher polls upstreams.
type Watcher struct {
	opts Options

	loads, events, failures, invalid tally.Counter
}

// New returns a Watcher.
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

// Run polls until ctx ends. Load reports and cache events have budgets of
// their own, so that a large answer with events does not hold up the reports.
func (w *Watcher) Run(ctx context.Context) error {
	rate := float64(w.opts.BytesPerSecond)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.poll(ctx, rate*(1-eventShare), w.all, w.pollLoad) })
	group.Go(func() error { return w.poll(ctx, rate*eventShare, w.chat, w.pollEvents) })
	return group.Wait()
}

// all returns the upstreams that this daemon works with.
func (w *Watcher) all() []membership.Upstream {
	var out []membership.Upstream
	for _, pool := range w.opts.Table.Pools() {
		out = append(out, w.opts.Table.Upstreams(pool)...)
	}
	return out
}

// chat returns those with a prompt cache.
func (w *Watcher) chat() []membership.Upstream {
	var out []membership.Upstream
	view := w.opts.Config.Snapshot()
	for _, pool := range w.opts.Table.Pools() {
		if p := view.Pools[pool]; p != nil && p.Type == api.PoolChat {
			out = append(out, w.opts.Table.Upstreams(pool)...)
		}
	}
	return out
}

// poll calls fetch for one upstream after the other at the given rate. fetch
// returns the bytes that the call took.
func (w *Watcher) poll(ctx context.Context, rate float64, upstreams func() []membership.Upstream,
	fetch func(context.Context, membership.Upstream) int) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	spent := make(chan int, maxOpen)
	open := 0
	budget := newByteBudget(rate)
	order := rotation{minInterval: w.opts.MinInterval, polledAt: map[string]time.Time{}}
	for {
		now := time.Now()
		wait := budget.wait(now)
		if open >= maxOpen {
			wait = w.opts.CallTimeout
		} else if wait == 0 {
			var u *membership.Upstream
			if u, wait = order.next(upstreams(), now); u != nil {
				// The least cost is charged at once, so that open calls count.
				budget.charge(eventBytes, now)
				open++
				target := *u
				calls.Go(func() { spent <- fetch(ctx, target) })
				continue
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case bytes := <-spent:
			open--
			budget.charge(bytes-eventBytes, time.Now())
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
		w.failed(u, err)
		return loadBytes
	}
	// Also a draining report goes straight to the table, which stops giving the
	// upstream new work.
	w.opts.Table.SetLoad(u.Name, *load)
	w.loads.Inc(1)
	return loadBytes
}

func (w *Watcher) pollEvents(ctx context.Context, u membership.Upstream) int {
	ctx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
	defer cancel()
	tracker := w.opts.Trackers.Pool(u.Pool)
	answer, err := w.opts.Fetch.CacheEvents(ctx, u.Address, tracker.LastEvent(u.Name))
	if err != nil {
		w.failed(u, err)
		return eventBytes
	}
	events := make([]routing.CacheEvent, 0, len(answer.Events))
	for _, e := range answer.Events {
		block, err := engineclient.ParseBlock(e.Block)
		if err != nil {
			w.invalid.Inc(1)
			w.opts.Logger.Warn("cache event with an invalid block ignored", "upstream", u.Name, "seq", e.Seq)
			continue
		}
		events = append(events, routing.CacheEvent{Seq: e.Seq, Stored: e.Type == engineclient.CacheStored, Block: block})
	}
	tracker.CacheEvents(u.Name, answer.Seq, events)
	w.events.Inc(int64(len(events)))
	return eventBytes + eachEvent*len(answer.Events)
}

// failed counts a failed poll. A refused connection is evidence about the
// upstream; a slow answer is not, because calls judge that better.
func (w *Watcher) failed(u membership.Upstream, err error) {
	w.failures.Inc(1)
	var e *engineclient.Error
	if errors.As(err, &e) && e.NotRun && e.Status == 0 && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		w.opts.Table.Observe(u.Name, membership.EvidenceRefused)
	}
}
