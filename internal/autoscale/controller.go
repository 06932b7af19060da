package autoscale

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

const (
	// reconcileInterval is the time between two passes over the services.
	reconcileInterval = 500 * time.Millisecond
	// maxHoldGap is the time without the duty after which another daemon may have held it.
	maxHoldGap = 3 * time.Second
)

// LatencySummary summarizes how long recent requests waited for their first answer.
type LatencySummary struct {
	// Median is the median time to the first answer relative to its target.
	Median float64
	// LateShare is the share of requests that were late or nearly late, from 0
	// to 1.
	LateShare float64
	// Requests is the number of requests in the summary.
	Requests int
}

// Sender sends orders to the cloud.
type Sender interface {
	// OrderUpstreams sets the desired number of upstreams, reclaimable or on-demand
	// ones, of a service in a failure domain. fence is the fencing token of the
	// duty.
	OrderUpstreams(ctx context.Context, fence int64, service, domain string, count int, reclaimable bool) error
}

// capacityKind is the kind of the objects that store the capacity of services for
// the next holder of the duty.
const capacityKind = "capacity"

// storedCapacity is the stored form of a service's capacity.
type storedCapacity struct {
	// Target is the number of upstreams that the service should have, and Initial
	// the number that it had before the first order.
	Target  int `json:"target"`
	Initial int `json:"found"`
}

// Options configures a Controller. All fields except Move are required.
type Options struct {
	Config *fleetconfig.Holder
	Store  objectclient.Store
	Sender Sender
	// IsPaused reports whether nothing may be ordered for a service at present, as the
	// versions of its upstreams have no known roles.
	IsPaused func(service string) bool
	// Move returns the version move of a service, the zero value if there is none. It may be
	// nil.
	Move func(service string) VersionMove
	// Upstreams returns all known upstreams, including those that are leaving.
	Upstreams func() []membership.Instance
	// IsEvacuated reports whether nothing is sent to the upstreams of a failure domain.
	// None are ordered there, and others take the place of those.
	IsEvacuated func(domain string) bool
	// LatencySummary summarizes the recent requests to a service.
	LatencySummary func(service string) LatencySummary
	// Held returns the fencing token; ok is true while this daemon holds the
	// duty.
	Held   func() (fence int64, ok bool)
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// Controller orders upstreams while this daemon holds the duty. Except for Target, it is not
// safe for concurrent use.
type Controller struct {
	opts  Options
	fence int64
	// heldAt is when the duty was last held, and isLost is set if it was not since then.
	heldAt   time.Time
	isLost   bool
	planners map[string]*Planner
	// stored is the capacity that was last read from or sent to the store, by
	// service.
	stored map[string]storedCapacity
	// targets holds the number of upstreams that each service should have; nil without the
	// duty.
	targets atomic.Pointer[map[string]int]
}

// New returns a Controller.
func New(opts Options) *Controller { return &Controller{opts: opts} }

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return periodic.Every(ctx, reconcileInterval, c.reconcile)
}

// reconcile plans and sends the orders of all services once.
func (c *Controller) reconcile(ctx context.Context) {
	fence, ok := c.opts.Held()
	config, _ := c.opts.Config.Current()
	if !ok || config == nil {
		c.isLost = true
		c.targets.Store(nil)
		return
	}
	now := c.opts.Now()
	if fence != c.fence || c.isLost {
		if !c.isReacquired(fence, now) {
			// The orders of another holder are not known.
			c.planners = map[string]*Planner{}
		}
		c.fence, c.stored, c.isLost = fence, map[string]storedCapacity{}, false
	}
	c.heldAt = now
	upstreams := c.opts.Upstreams()
	for name, service := range config.Services {
		if service.Autoscale == nil || c.opts.IsPaused(name) {
			continue
		}
		planner := c.planners[name]
		if planner == nil {
			var ok bool
			if planner, ok = c.loadPlanner(ctx, name); !ok {
				continue
			}
			c.planners[name] = planner
		}
		observation := c.observe(service, upstreams)
		summary := c.opts.LatencySummary(name)
		observation.Median, observation.LateShare, observation.Requests = summary.Median, summary.LateShare, summary.Requests
		for _, order := range planner.Plan(observation) {
			c.send(ctx, fence, name, planner, order, observation)
		}
		c.storeCapacity(ctx, name, planner)
	}
	c.recordTargets()
}

// recordTargets records the targets of all services.
func (c *Controller) recordTargets() {
	targets := make(map[string]int, len(c.planners))
	for service, planner := range c.planners {
		targets[service] = planner.Target()
	}
	c.targets.Store(&targets)
}

// Target returns the number of upstreams that a service should have, 0 if that is unknown to
// this daemon. It is safe for concurrent use.
func (c *Controller) Target(service string) int {
	targets := c.targets.Load()
	if targets == nil {
		return 0
	}
	return (*targets)[service]
}

// isReacquired reports whether this daemon has got the duty again because the store was
// restored: its planners then know more of the orders than the store does.
func (c *Controller) isReacquired(fence int64, now time.Time) bool {
	isRestored := objectclient.Revision(fence).Era() > objectclient.Revision(c.fence).Era()
	return isRestored && c.planners != nil && now.Sub(c.heldAt) <= maxHoldGap
}

// loadPlanner returns a planner that continues from the stored capacity, if there
// is any. ok is false if the store could not be read.
func (c *Controller) loadPlanner(ctx context.Context, service string) (planner *Planner, ok bool) {
	stored, err := c.opts.Store.Get(ctx, capacityKind, service)
	if errors.Is(err, objectclient.ErrNotFound) {
		return NewPlanner(), true
	}
	if err != nil {
		c.opts.Logger.Warn("cannot read the stored capacity of the service; ordering nothing for it", "service", service, "error", err)
		return nil, false
	}
	var capacity storedCapacity
	if err := json.Unmarshal(stored.Value, &capacity); err != nil {
		c.opts.Logger.Warn("cannot decode the stored capacity of the service; estimating it from its live upstreams", "service", service, "error", err)
		return NewPlanner(), true
	}
	c.stored[service] = capacity
	c.opts.Logger.Info("continuing with the stored capacity of the service", "service", service, "target", capacity.Target, "found", capacity.Initial)
	return ResumePlanner(capacity.Target, capacity.Initial, c.opts.Now()), true
}

// storeCapacity writes the capacity of a service to the store if it has changed. A
// failed write is not repeated; the next change replaces it. Two concurrent
// holders may overwrite each other's value, which only means that the next holder
// starts from the other one.
func (c *Controller) storeCapacity(ctx context.Context, service string, planner *Planner) {
	capacity := storedCapacity{Target: planner.target, Initial: planner.initial}
	if capacity.Initial == 0 || capacity == c.stored[service] {
		return
	}
	value, err := json.Marshal(capacity)
	if err != nil {
		c.opts.Logger.Error("cannot encode the capacity of the service; not storing it", "service", service, "error", err)
		return
	}
	_, err = c.opts.Store.Put(ctx, capacityKind, service, objectclient.AnyVersion, value)
	if errors.Is(err, objectclient.ErrNotFound) {
		_, err = c.opts.Store.Put(ctx, capacityKind, service, objectclient.MustNotExist, value)
	}
	if err != nil && !errors.Is(err, objectclient.ErrConflict) {
		c.opts.Scope.Counter("capacity_write_failed").Inc(1)
		c.opts.Logger.Warn("cannot store the capacity of the service; writing it again when it changes", "service", service, "error", err)
	}
	c.stored[service] = capacity
}

// observe counts the live upstreams of a service by place, without those of evacuated
// failure domains.
func (c *Controller) observe(service *fleetconfig.Service, upstreams []membership.Instance) *Observation {
	o := &Observation{
		Bounds: service.Autoscale.Without(c.opts.IsEvacuated), Live: map[Place]int{}, Next: map[Place]int{}, Others: map[Place]int{}, Now: c.opts.Now(),
	}
	if c.opts.Move != nil {
		o.Move = c.opts.Move(service.Name)
	}
	for _, u := range upstreams {
		if u.Pool != service.Name || u.State != membership.StateLive || c.opts.IsEvacuated(u.Domain) {
			continue
		}
		place := Place{u.Domain, OnDemand}
		if u.Class == membership.Reclaimable {
			place.Kind = Reclaimable
		}
		if !o.Move.isActive() || u.Version == o.Move.Serving {
			o.Live[place]++
			continue
		}
		o.Others[place]++
		if u.Version == o.Move.Next {
			o.Next[place]++
		}
	}
	return o
}

// send sends an order unless this daemon has lost the duty, and records a refusal.
func (c *Controller) send(ctx context.Context, fence int64, service string, planner *Planner, order Order, o *Observation) {
	// The lease may have ended while an earlier order was being sent.
	if current, ok := c.opts.Held(); !ok || current != fence {
		return
	}
	reclaimable := order.Kind == Reclaimable
	err := c.opts.Sender.OrderUpstreams(ctx, fence, service, order.Domain, order.Count, reclaimable)
	fields := []any{
		"service", service, "domain", order.Domain, "count", order.Count, "reclaimable", reclaimable, "fence", fence,
		"live", o.Live[order.Place], "otherVersions", o.Others[order.Place], "target", planner.Target(), "median", o.Median, "late", o.LateShare, "requests", o.Requests,
	}
	if err != nil {
		planner.RecordRefusal(order, c.opts.Now())
		c.opts.Scope.Counter("orders_refused").Inc(1)
		c.opts.Logger.Warn("order of upstreams was refused or failed; repeating it later if it is still needed", append(fields, "error", err)...)
		return
	}
	c.opts.Scope.Counter("orders_sent").Inc(1)
	c.opts.Logger.Info("sent order of upstreams", fields...)
}
