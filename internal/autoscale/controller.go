package autoscale

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

// reconcileEvery is how often the services are looked at.
const reconcileEvery = 500 * time.Millisecond

// Lateness tells how recent requests were answered.
type Lateness struct {
	// Median is the median time to the first answer relative to its target.
	Median float64
	// Late is the share of requests that were late or nearly so.
	Late float64
	// Requests is the number of requests that were looked at.
	Requests int
}

// Sender sends an order under a fencing token.
type Sender interface {
	OrderUpstreams(ctx context.Context, fence int64, service, domain string, count int, reclaimable bool) error
}

// memoryKind is the kind of the objects that keep what services need, for the
// next holder of the duty.
const memoryKind = "capacity"

// memory is what the store keeps of a service.
type memory struct {
	// Target is how many upstreams the service should have, Found how many there
	// were at first.
	Target int `json:"target"`
	Found  int `json:"found"`
}

// Options configures a Controller. All fields are required.
type Options struct {
	Config *fleetconfig.Holder
	Store  objectclient.Store
	Sender Sender
	// Paused reports whether nothing may be ordered for a service now: while it
	// moves to another version, upstreams of both serve, more than are needed.
	Paused func(service string) bool
	// Upstreams returns all known upstreams, leaving ones too.
	Upstreams func() []membership.Instance
	// Lateness returns how recent requests to a service were answered.
	Lateness func(service string) Lateness
	// Held returns the fencing token while this daemon has the duty.
	Held   func() (fence int64, ok bool)
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// Controller orders upstreams while this daemon holds the duty.
type Controller struct {
	opts     Options
	fence    int64
	planners map[string]*Planner
	// remembered is what the store holds, by service.
	remembered map[string]memory
}

// New returns a Controller.
func New(opts Options) *Controller { return &Controller{opts: opts} }

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return periodic.Every(ctx, reconcileEvery, c.reconcile)
}

func (c *Controller) reconcile(ctx context.Context) {
	fence, ok := c.opts.Held()
	config, _ := c.opts.Config.Current()
	if !ok || config == nil {
		c.planners = nil
		return
	}
	if fence != c.fence || c.planners == nil {
		// What an earlier holder ordered is not known.
		c.fence, c.planners, c.remembered = fence, map[string]*Planner{}, map[string]memory{}
	}
	upstreams := c.opts.Upstreams()
	for name, service := range config.Services {
		if service.Autoscale == nil || c.opts.Paused(name) {
			continue
		}
		planner := c.planners[name]
		if planner == nil {
			var ok bool
			if planner, ok = c.recall(ctx, name); !ok {
				continue
			}
			c.planners[name] = planner
		}
		observed := observe(service, upstreams, c.opts.Now())
		l := c.opts.Lateness(name)
		observed.Median, observed.Late, observed.Requests = l.Median, l.Late, l.Requests
		for _, order := range planner.Plan(observed) {
			c.send(ctx, fence, name, planner, order, observed)
		}
		c.remember(ctx, name, planner)
	}
}

// recall returns a planner that goes on from what an earlier holder left; ok is
// false while the store cannot tell.
func (c *Controller) recall(ctx context.Context, service string) (planner *Planner, ok bool) {
	stored, err := c.opts.Store.Get(ctx, memoryKind, service)
	if errors.Is(err, objectclient.ErrNotFound) {
		return NewPlanner(), true
	}
	if err != nil {
		c.opts.Logger.Warn("need of a service could not be read", "service", service, "error", err)
		return nil, false
	}
	var m memory
	if err := json.Unmarshal(stored.Value, &m); err != nil {
		c.opts.Logger.Warn("need of a service is not readable; it is estimated", "service", service, "error", err)
		return NewPlanner(), true
	}
	c.remembered[service] = m
	c.opts.Logger.Info("goes on with the need of a service", "service", service, "target", m.Target, "found", m.Found)
	return ResumePlanner(m.Target, m.Found, c.opts.Now()), true
}

// remember keeps the need of a service in the store. A failure is repaired by the
// next change; two holders at once may overwrite each other, which only makes the
// next one start from the other's value.
func (c *Controller) remember(ctx context.Context, service string, planner *Planner) {
	m := memory{Target: planner.target, Found: planner.found}
	if m.Found == 0 || m == c.remembered[service] {
		return
	}
	value, err := json.Marshal(m)
	if err != nil {
		c.opts.Logger.Error("need of a service could not be written", "service", service, "error", err)
		return
	}
	version := objectclient.AnyVersion
	if c.remembered[service].Found == 0 {
		version = objectclient.MustNotExist
	}
	if _, err := c.opts.Store.Put(ctx, memoryKind, service, version, value); err != nil && !errors.Is(err, objectclient.ErrConflict) {
		c.opts.Scope.Counter("capacity_write_failed").Inc(1)
		c.opts.Logger.Warn("need of a service could not be written", "service", service, "error", err)
	}
	c.remembered[service] = m
}

// observe counts the upstreams of a service that serve.
func observe(service *fleetconfig.Service, upstreams []membership.Instance, now time.Time) *Observed {
	o := &Observed{Bounds: service.Autoscale, Live: map[Place]int{}, Now: now}
	for _, u := range upstreams {
		if u.Pool != service.Name || u.State != membership.StateLive {
			continue
		}
		kind := OnDemand
		if u.Class == membership.Reclaimable {
			kind = Reclaimable
		}
		o.Live[Place{u.Domain, kind}]++
	}
	return o
}

func (c *Controller) send(ctx context.Context, fence int64, service string, planner *Planner, order Order, o *Observed) {
	// The lease may have ended while an earlier order was on its way.
	if now, ok := c.opts.Held(); !ok || now != fence {
		return
	}
	reclaimable := order.Kind == Reclaimable
	err := c.opts.Sender.OrderUpstreams(ctx, fence, service, order.Domain, order.Count, reclaimable)
	fields := []any{
		"service", service, "domain", order.Domain, "count", order.Count, "reclaimable", reclaimable, "fence", fence,
		"live", o.Live[order.Place], "target", planner.Target(), "median", o.Median, "late", o.Late, "requests", o.Requests,
	}
	if err != nil {
		planner.Refused(order, c.opts.Now())
		c.opts.Scope.Counter("orders_refused").Inc(1)
		c.opts.Logger.Warn("order of upstreams was not carried out", append(fields, "error", err)...)
		return
	}
	c.opts.Scope.Counter("orders_sent").Inc(1)
	c.opts.Logger.Info("ordered upstreams", fields...)
}
