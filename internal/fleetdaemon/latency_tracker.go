package fleetdaemon

import (
	"context"
	"sync"
	"time"

	"rattantide/internal/autoscale"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
)

const (
	// latencyWindow is how long the latency of a request is taken into account.
	latencyWindow = 4 * time.Second
	// lateThreshold is the minimum ratio to the target at which a request counts as
	// late. It is below 1 because a service must grow before targets are missed. It
	// must be a multiple of the bucket width of autoscale.Histogram.
	lateThreshold = 0.7
)

// latencyTracker tracks, per service, the latencies of recent requests relative to
// their targets. It implements dispatch.Observer and is safe for concurrent use.
type latencyTracker struct {
	holder *fleetconfig.Holder
	now    func() time.Time

	mu      sync.Mutex
	samples map[string][]latencySample
	// peers holds the last report of each other daemon: a single daemon of many
	// serves too few requests for an estimate per service.
	peers map[string]peerLatencies
}

type latencySample struct {
	at time.Time
	// ratio is the latency divided by the route's target. The latency of a stream is
	// the time to its first token.
	ratio float64
}

func newLatencyTracker(holder *fleetconfig.Holder, now func() time.Time) *latencyTracker {
	return &latencyTracker{holder: holder, now: now, samples: map[string][]latencySample{}, peers: map[string]peerLatencies{}}
}

// Observe implements dispatch.Observer.
func (l *latencyTracker) Observe(o dispatch.Observation) {
	if o.Outcome != dispatch.StatusOK {
		return
	}
	config, _ := l.holder.Current()
	if config == nil {
		return
	}
	route := config.RouteByName(o.Route)
	if route == nil || route.Target <= 0 {
		return
	}
	took := o.Queued + o.Total
	if route.Kind == fleetconfig.Stream {
		took = o.Queued + o.FirstToken
	}
	l.add(o.Pool, float64(took)/float64(route.Target))
}

func (l *latencyTracker) add(service string, ratio float64) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[service] = append(l.recentSamples(service, now), latencySample{at: now, ratio: ratio})
}

// recentSamples returns the samples of a service that are within latencyWindow.
// The caller holds mu.
func (l *latencyTracker) recentSamples(service string, now time.Time) []latencySample {
	samples := l.samples[service]
	for len(samples) > 0 && now.Sub(samples[0].at) > latencyWindow {
		samples = samples[1:]
	}
	return samples
}

// multiObserver passes each observation to all of its observers.
type multiObserver []dispatch.Observer

// Observe implements dispatch.Observer.
func (o multiObserver) Observe(observation dispatch.Observation) {
	for _, observer := range o {
		observer.Observe(observation)
	}
}

// refusedRatio is the ratio to the target that is recorded for a refused request.
// Refusals keep the admitted requests on time, so that the admitted requests alone
// would not show that more upstreams are needed.
const refusedRatio = 1.5

// countingChooser records a request as late if its first attempt is refused for lack
// of capacity.
type countingChooser struct {
	dispatch.Chooser
	latencies *latencyTracker
}

// Choose implements dispatch.Chooser.
func (c countingChooser) Choose(ctx context.Context, r *dispatch.Request) (*dispatch.Choice, error) {
	choice, err := c.Chooser.Choose(ctx, r)
	if err != nil && ctx.Err() == nil && r.Attempt <= 1 {
		c.latencies.add(r.Pool, refusedRatio)
	}
	return choice, err
}

// histograms returns the histograms of this daemon's recent requests by service.
// Services without recent requests are omitted.
func (l *latencyTracker) histograms() map[string]*autoscale.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := map[string]*autoscale.Histogram{}
	for service := range l.samples {
		if h := l.histogram(service, now); h != nil {
			out[service] = h
		}
	}
	return out
}

// histogram returns the histogram of this daemon's recent requests to a service, or
// nil if there are none. The caller holds mu.
func (l *latencyTracker) histogram(service string, now time.Time) *autoscale.Histogram {
	samples := l.recentSamples(service, now)
	l.samples[service] = samples
	if len(samples) == 0 {
		return nil
	}
	h := &autoscale.Histogram{}
	for _, s := range samples {
		h.Add(s.ratio)
	}
	return h
}

// peerLatencies holds the histograms of another daemon by service.
type peerLatencies struct {
	receivedAt time.Time
	services   map[string]*autoscale.Histogram
}

// setPeer replaces the histograms of another daemon and deletes those that are older
// than latencyWindow.
func (l *latencyTracker) setPeer(daemon string, services map[string]*autoscale.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for name, peer := range l.peers {
		if now.Sub(peer.receivedAt) > latencyWindow {
			delete(l.peers, name)
		}
	}
	l.peers[daemon] = peerLatencies{receivedAt: now, services: services}
}

// ForService returns the latency summary of recent requests to a service across all
// daemons.
func (l *latencyTracker) ForService(service string) autoscale.LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	total := autoscale.Histogram{}
	if h := l.histogram(service, now); h != nil {
		total.Merge(h)
	}
	for _, peer := range l.peers {
		if h := peer.services[service]; h != nil && now.Sub(peer.receivedAt) <= latencyWindow {
			total.Merge(h)
		}
	}
	return total.Summary(lateThreshold)
}
