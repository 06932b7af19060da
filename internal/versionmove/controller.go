package versionmove

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

const (
	// stateKind is the kind of the objects that store the states of moves.
	stateKind = "moves"
)

// Declaration is a move that an operator declared.
type Declaration struct {
	// Name is the name of the declaration's object.
	Name    string
	Service string
	To      string
	// Within is the time from the declaration to the deadline.
	Within time.Duration
	// Ended is true if the outcome has already been reported to the operator.
	Ended bool
	// Version is the version of the declaration's object.
	Version objectclient.Revision
}

// Declarations reads the declared moves and reports their progress to operators.
type Declarations interface {
	// Moves returns all declared moves.
	Moves(ctx context.Context) ([]Declaration, error)
	// AwaitChange waits some seconds for a change since the latest call of Moves and reports
	// whether there was one. It may be called concurrently with the other methods.
	AwaitChange(ctx context.Context) (changed bool, err error)
	// ReportPhase reports the phase of a move to the operator.
	ReportPhase(ctx context.Context, d Declaration, phase Phase) error
}

// ControllerOptions configures a Controller. All fields except Limits, Processes, Needed,
// Known, OnChange and Collect are required.
type ControllerOptions struct {
	Declarations Declarations
	Store        objectclient.Store
	Ledger       *Ledger
	// Limits returns the bounds on the requests to a version that turns out to be bad.
	// Default: the new version gets the least share.
	Limits func() ExposureLimits
	// Processes returns the names of the processes of all live daemons, as the Ledger has
	// them. Without it the rate of the traffic counts as unknown.
	Processes func() []string
	// Upstreams returns all known upstreams.
	Upstreams func() []membership.Instance
	// Needed returns the number of upstreams that the load of a service needs, 0 if that is
	// unknown. It may be nil.
	Needed func(service string) int
	// Known returns what this daemon knows of a service's move. It may be further than the
	// stored state after the store was restored from a copy. It may be nil.
	Known func(service string) (State, bool)
	// OnChange is called with each state that is written. It may be nil.
	OnChange func(service string, s RevisionedState)
	// Collect requests the tallies of all daemons. It is called about once a second while a
	// move is running, and may be nil.
	Collect func()
	// Held returns the fencing token; ok is true while this daemon holds the duty.
	Held func() (fence int64, ok bool)
	// Now returns the true time, as estimated by package truetime, so that a
	// deadline is valid for the next holder too.
	Now    func() time.Time
	Logger *log.Logger
}

// Controller decides the moves while this daemon holds the duty. Except for IsRunning, it
// is not safe for concurrent use.
type Controller struct {
	opts  ControllerOptions
	moves map[string]*trackedMove
	// declared holds the declared moves as read last.
	declared []Declaration
	// passes counts the calls of pass, and readFailed reports whether the latest read of the
	// declared moves failed.
	passes     int
	readFailed bool
	// isWatching reports whether a change of the declared moves is awaited concurrently.
	isWatching atomic.Bool
	// running holds the set of services with a declared move that has not ended. It is nil
	// until the declared moves were read.
	running atomic.Pointer[map[string]bool]
}

// NewController returns a Controller.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, moves: map[string]*trackedMove{}}
}

// tryAdvance advances a move and logs a failure.
func (c *Controller) tryAdvance(ctx context.Context, d Declaration) {
	if err := c.advance(ctx, d); err != nil {
		c.opts.Logger.Warn("cannot advance the version move; trying again at the next pass", "service", d.Service, "to", d.To, "error", err)
	}
}

// discard discards the records of all moves.
func (c *Controller) discard() {
	clear(c.moves)
	c.declared = nil
	c.running.Store(nil)
}

// reconcile reads the declared moves and advances them once. Without the duty it discards
// their records.
func (c *Controller) reconcile(ctx context.Context) {
	if _, ok := c.opts.Held(); !ok {
		c.discard()
		return
	}
	declared, err := c.opts.Declarations.Moves(ctx)
	c.readFailed = err != nil
	if err != nil {
		c.opts.Logger.Warn("cannot read the declared moves; trying again at the next pass", "error", err)
		return
	}
	c.markReordered(declared)
	c.declared = declared
	c.recordRunning(declared)
	c.advanceAll(ctx, true)
}

// markReordered marks the declared moves as not ended whose version was ordered again with
// another time limit: the reported outcome is that of the order before.
func (c *Controller) markReordered(declared []Declaration) {
	for i, d := range declared {
		if known, ok := c.known(d.Service); d.Ended && ok && known.To == d.To && !known.isOf(d) {
			declared[i].Ended = false
		}
	}
}

// advanceAll advances the declared moves that have not ended: those that are tracked and, if
// isFull is set, the others, which costs calls of the store. It then also requests the
// tallies of all daemons.
func (c *Controller) advanceAll(ctx context.Context, isFull bool) {
	isRunning := false
	for _, d := range c.declared {
		if d.Ended {
			continue
		}
		isRunning = true
		if m := c.moves[d.Service]; isFull || m != nil && m.state.isOf(d) {
			c.tryAdvance(ctx, d)
		}
	}
	if isRunning {
		c.recordRunning(c.declared)
	}
	if isFull && isRunning && c.opts.Collect != nil {
		c.opts.Collect()
	}
}

// recordRunning records the services whose moves have not ended. A move whose outcome was
// reported has ended before the declarations are read again.
func (c *Controller) recordRunning(declared []Declaration) {
	running := map[string]bool{}
	for _, d := range declared {
		if m := c.moves[d.Service]; !d.Ended && (m == nil || !m.isReported(d)) {
			running[d.Service] = true
		}
	}
	c.running.Store(&running)
}

// IsRunning reports whether a service has a declared move that has not ended, as far as
// this daemon holds the duty. Unlike the rest of the Controller it is safe for concurrent
// use. It is true before any upstream of the new version is known.
func (c *Controller) IsRunning(service string) bool {
	running := c.running.Load()
	return running != nil && (*running)[service]
}

// IsKnown reports whether the declared moves were read since this daemon got the duty. It is
// safe for concurrent use.
func (c *Controller) IsKnown() bool { return c.running.Load() != nil }

// advance decides the next state of a move, and writes and reports it if it has
// changed.
func (c *Controller) advance(ctx context.Context, d Declaration) error {
	m, err := c.loadOrCreate(ctx, d)
	if err != nil || m == nil {
		return err
	}
	m.declaration = d
	if err := c.decide(ctx, m); err != nil {
		return err
	}
	if m.reportedPhase != m.state.Phase && !c.opts.Now().Before(m.reportAt) {
		if err := c.opts.Declarations.ReportPhase(ctx, d, m.state.Phase); err != nil {
			return errors.Annotate(err, "reporting the phase to the operator")
		}
		m.reportedPhase = m.state.Phase
	}
	return nil
}

// decide decides the next state of a move and writes it if it has changed.
func (c *Controller) decide(ctx context.Context, m *trackedMove) error {
	d, now := m.declaration, c.opts.Now()
	sums := c.sums(m.state)
	evidence := c.evidence(m, sums, now)
	next, plan := decide(m.state, evidence)
	m.switchAt = time.UnixMilli(m.state.DeadlineMs).Add(-plan.switchLead)
	if next.equal(m.state) {
		return nil
	}
	isFirstShare := m.state.Share == 0
	if err := c.write(ctx, m, next); err != nil {
		return err
	}
	c.opts.Logger.Info("version move changed state", "service", d.Service, "from", next.From, "to", next.To, "phase", next.Phase,
		"share", next.Share, "reason", next.Reason, "leftMs", evidence.Left.Milliseconds(), "switchLeadMs", plan.switchLead.Milliseconds(),
		"attempts", evidence.Traffic.Total, "newAttempts", evidence.Traffic.New, "perSecond", evidence.Traffic.PerSecond,
		"oldUpstreams", evidence.Room.Old, "newUpstreams", evidence.Room.New, "neededUpstreams", evidence.Room.Needed,
		"oldAnswers", evidence.Old.Answers, "oldFailures", evidence.Old.Failures, "newAnswers", evidence.New.Answers, "newFailures", evidence.New.Failures,
		"oldFirstMs", evidence.Old.meanFirstMs(), "newFirstMs", evidence.New.meanFirstMs(), "oldGapMs", evidence.Old.typicalGapMs(), "newGapMs", evidence.New.typicalGapMs(),
		"routeShares", next.RouteShares)
	if isFirstShare {
		m.results.reset(sums)
	}
	if next.Phase == PhaseDone {
		m.reportAt = now.Add(max(0, min(handoverTime, evidence.Left/3)))
	}
	return nil
}

// sums returns the sums of the tallies of both versions of a move.
func (c *Controller) sums(s State) moveSums {
	l := c.opts.Ledger
	return moveSums{
		old: l.Total(s.Service, s.From), new: l.Total(s.Service, s.To),
		oldByRoute: l.Routes(s.Service, s.From), newByRoute: l.Routes(s.Service, s.To),
	}
}

// evidence returns the evidence about a move.
func (c *Controller) evidence(m *trackedMove, sums moveSums, now time.Time) Evidence {
	live := liveVersions(c.opts.Upstreams(), m.state.Service)
	e := Evidence{Within: m.declaration.Within, Left: time.UnixMilli(m.state.DeadlineMs).Sub(now), Ready: live[m.state.To] > 0}
	e.Room = Room{New: live[m.state.To], Old: live[m.state.From]}
	if c.opts.Needed != nil {
		e.Room.Needed = c.opts.Needed(m.state.Service)
	}
	e.Results, e.Routes = m.results.update(now, sums)
	e.StartedByRoute = sums.startedByRoute()
	isComplete := c.opts.Processes != nil && c.opts.Ledger.HasAll(c.opts.Processes())
	e.Traffic = m.traffic.update(now, c.opts.Ledger.Processes(), isComplete)
	if c.opts.Limits != nil {
		e.Limits = c.opts.Limits()
	}
	return e
}
