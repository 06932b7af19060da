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
	// latenessWindow is the time over which late requests are counted.
	latenessWindow = 4 * time.Second
	// lateShare is the part of a target above which a request counts as late: a
	// service must grow before targets are missed.
	lateShare = 0.7
)

// lateness keeps the share of late requests per service. It implements
// dispatch.Observer and is safe for concurrent use.
type lateness struct {
	holder *fleetconfig.Holder
	now    func() time.Time

	mu       sync.Mutex
	services map[string][]latenessSample
	// others holds what other daemons told last: one daemon of many sees too few
	// requests to judge a service by.
	others map[string]othersCounts
}

type latenessSample struct {
	at time.Time
	// ratio is the time to the first answer relative to the target.
	ratio float64
}

func newLateness(holder *fleetconfig.Holder, now func() time.Time) *lateness {
	return &lateness{holder: holder, now: now, services: map[string][]latenessSample{}, others: map[string]othersCounts{}}
}

// Observe implements dispatch.Observer.
func (l *lateness) Observe(o dispatch.Observation) {
	if o.Outcome != dispatch.StatusOK {
		return
	}
	config, _ := l.holder.Current()
	if config == nil {
		return
	}
	route := config.RouteNamed(o.Route)
	if route == nil || route.Target <= 0 {
		return
	}
	took := o.Queued + o.Total
	if route.Kind == fleetconfig.Stream {
		took = o.Queued + o.FirstToken
	}
	l.add(o.Pool, float64(took)/float64(route.Target))
}

func (l *lateness) add(service string, ratio float64) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.services[service] = append(l.recent(service, now), latenessSample{at: now, ratio: ratio})
}

// recent drops the samples that are too old. The lock is held.
func (l *lateness) recent(service string, now time.Time) []latenessSample {
	samples := l.services[service]
	for len(samples) > 0 && now.Sub(samples[0].at) > latenessWindow {
		samples = samples[1:]
	}
	return samples
}

// observers passes observations on to all of them.
type observers []dispatch.Observer

// Observe implements dispatch.Observer.
func (o observers) Observe(seen dispatch.Observation) {
	for _, each := range o {
		each.Observe(seen)
	}
}

// refusedRatio is the time relative to the target for which a refused request
// counts. What is held back keeps the others on time, so that they alone would
// show no need of more upstreams.
const refusedRatio = 1.5

// countingChooser counts the requests that are refused for want of capacity.
type countingChooser struct {
	dispatch.Chooser
	lateness *lateness
}

// Choose implements dispatch.Chooser.
func (c countingChooser) Choose(ctx context.Context, r *dispatch.Request) (*dispatch.Choice, error) {
	choice, err := c.Chooser.Choose(ctx, r)
	if err != nil && ctx.Err() == nil && r.Attempt <= 1 {
		c.lateness.add(r.Pool, refusedRatio)
	}
	return choice, err
}

// own returns the counts of this daemon's recent requests, by service.
func (l *lateness) own() map[string]*autoscale.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := map[string]*autoscale.Histogram{}
	for service := range l.services {
		if h := l.count(service, now); h != nil {
			out[service] = h
		}
	}
	return out
}

// count returns the counts of this daemon's recent requests to a service; nil without
// any. The lock is held.
func (l *lateness) count(service string, now time.Time) *autoscale.Histogram {
	samples := l.recent(service, now)
	l.services[service] = samples
	if len(samples) == 0 {
		return nil
	}
	h := &autoscale.Histogram{}
	for _, s := range samples {
		h.Add(s.ratio)
	}
	return h
}

// othersCounts are the counts of another daemon.
type othersCounts struct {
	at       time.Time
	services map[string]*autoscale.Histogram
}

// heard takes over the counts of another daemon.
func (l *lateness) heard(daemon string, services map[string]*autoscale.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for name, counts := range l.others {
		if now.Sub(counts.at) > latenessWindow {
			delete(l.others, name)
		}
	}
	l.others[daemon] = othersCounts{at: now, services: services}
}

// Of returns how recent requests to a service were answered by all daemons.
func (l *lateness) Of(service string) autoscale.Lateness {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	total := autoscale.Histogram{}
	if h := l.count(service, now); h != nil {
		total.Merge(h)
	}
	for _, counts := range l.others {
		if h := counts.services[service]; h != nil && now.Sub(counts.at) <= latenessWindow {
			total.Merge(h)
		}
	}
	return total.Lateness(lateShare)
}
