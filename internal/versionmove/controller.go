package versionmove

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

const (
	// stateKind is the kind of the objects that store the states of moves.
	stateKind = "moves"
	// judgeInterval is the time between two passes of the holder over the running moves, and
	// reconcilePasses the number of passes after which it reads the declared ones again,
	// which costs a call of the store. If all have ended, each pass awaits another.
	judgeInterval   = 250 * time.Millisecond
	reconcilePasses = 4
	// endMargin is how long before the deadline a move is decided, so that the
	// outcome can be written in time.
	endMargin = 1500 * time.Millisecond
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
	// ReportPhase reports the phase of a move to the operator.
	ReportPhase(ctx context.Context, d Declaration, phase Phase) error
}

// ControllerOptions configures a Controller. All fields except Known, OnChange and Collect
// are required.
type ControllerOptions struct {
	Declarations Declarations
	Store        objectclient.Store
	Ledger       *Ledger
	// Upstreams returns all known upstreams.
	Upstreams func() []membership.Instance
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
	// passes counts the calls of pass, and readFailed reports whether the latest read of the
	// declared moves failed.
	passes     int
	readFailed bool
	// running holds the set of services with a declared move that has not ended.
	running atomic.Pointer[map[string]bool]
}

// trackedMove is the holder's record of a move.
type trackedMove struct {
	state State
	// version is the version of the stored state, 0 before the first write.
	version objectclient.Revision
	// reportedPhase is the phase that was last reported to the operator.
	reportedPhase Phase
	// declaration is what was read last.
	declaration Declaration
	// oldBaseline and newBaseline are the tallies of both versions when this
	// holder last wrote a change of state.
	oldBaseline, newBaseline Tally
}

// NewController returns a Controller.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, moves: map[string]*trackedMove{}}
}

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return periodic.Every(ctx, judgeInterval, c.pass)
}

// pass advances the running moves. It reads the declared ones from time to time, and always
// if that means to await one.
func (c *Controller) pass(ctx context.Context) {
	c.passes++
	if _, held := c.opts.Held(); !held || c.passes%reconcilePasses == 0 || c.awaitsDeclaration() {
		c.reconcile(ctx)
		return
	}
	for _, m := range c.moves {
		if m.state.Phase == PhaseRunning {
			c.tryAdvance(ctx, m.declaration)
		}
	}
}

// awaitsDeclaration reports whether the latest read of the declared moves succeeded and all
// of them have ended.
func (c *Controller) awaitsDeclaration() bool {
	running := c.running.Load()
	return running != nil && len(*running) == 0 && !c.readFailed
}

// tryAdvance advances a move and logs a failure.
func (c *Controller) tryAdvance(ctx context.Context, d Declaration) {
	if err := c.advance(ctx, d); err != nil {
		c.opts.Logger.Warn("cannot advance the version move; trying again at the next pass", "service", d.Service, "to", d.To, "error", err)
	}
}

// reconcile advances all declared moves once. Without the duty it discards their
// records.
func (c *Controller) reconcile(ctx context.Context) {
	if _, ok := c.opts.Held(); !ok {
		clear(c.moves)
		c.running.Store(nil)
		return
	}
	declared, err := c.opts.Declarations.Moves(ctx)
	c.readFailed = err != nil
	if err != nil {
		c.opts.Logger.Warn("cannot read the declared moves; trying again at the next pass", "error", err)
		return
	}
	c.recordRunning(declared)
	isRunning := false
	for _, d := range declared {
		if !d.Ended {
			isRunning = true
			c.tryAdvance(ctx, d)
		}
	}
	if isRunning && c.opts.Collect != nil {
		c.opts.Collect()
	}
}

// recordRunning records the services whose moves have not ended.
func (c *Controller) recordRunning(declared []Declaration) {
	running := map[string]bool{}
	for _, d := range declared {
		if !d.Ended {
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

// advance decides the next state of a move, and writes and reports it if it has
// changed.
func (c *Controller) advance(ctx context.Context, d Declaration) error {
	m, err := c.loadOrCreate(ctx, d)
	if err != nil || m == nil {
		return err
	}
	m.declaration = d
	now := c.opts.Now()
	oldTotal, newTotal := c.opts.Ledger.Total(d.Service, m.state.From), c.opts.Ledger.Total(d.Service, d.To)
	_, ready := sourceVersion(c.opts.Upstreams(), d.Service, d.To)
	next := Decide(m.state, Evidence{
		Old: oldTotal.since(m.oldBaseline), New: newTotal.since(m.newBaseline), Elapsed: m.state.elapsed(now), Within: d.Within,
		Left: time.UnixMilli(m.state.DeadlineMs).Sub(now) - endMargin, Ready: ready,
	})
	if next.Share != m.state.Share {
		next.ShareSinceMs = now.UnixMilli()
	}
	if next != m.state {
		if err := c.write(ctx, m, next); err != nil {
			return err
		}
		c.opts.Logger.Info("version move changed state", "service", d.Service, "from", next.From, "to", next.To, "phase", next.Phase,
			"share", next.Share, "reason", next.Reason, "oldAnswers", oldTotal.Answers, "oldFailures", oldTotal.Failures,
			"newAnswers", newTotal.Answers, "newFailures", newTotal.Failures,
			"oldFirstMs", oldTotal.meanFirstMs(), "newFirstMs", newTotal.meanFirstMs(), "oldGapMs", oldTotal.typicalGapMs(), "newGapMs", newTotal.typicalGapMs())
		m.oldBaseline, m.newBaseline = oldTotal, newTotal
	}
	if m.reportedPhase != m.state.Phase {
		if err := c.opts.Declarations.ReportPhase(ctx, d, m.state.Phase); err != nil {
			return errors.Annotate(err, "reporting the phase to the operator")
		}
		m.reportedPhase = m.state.Phase
	}
	return nil
}

// loadOrCreate returns the record of a declared move. It continues a move that an
// earlier holder began, and returns nil while no upstream of another version is
// known.
func (c *Controller) loadOrCreate(ctx context.Context, d Declaration) (*trackedMove, error) {
	if m := c.moves[d.Service]; m != nil && m.state.To == d.To {
		return m, nil
	}
	now := c.opts.Now()
	m := &trackedMove{}
	stored, err := c.opts.Store.Get(ctx, stateKind, d.Service)
	switch {
	case err == nil:
		m.version = stored.Version
		if err := json.Unmarshal(stored.Value, &m.state); err != nil {
			c.opts.Logger.Warn("cannot decode the stored state of the version move; replacing it", "service", d.Service, "error", err)
			m.state = State{}
		}
	case !errors.Is(err, objectclient.ErrNotFound):
		return nil, errors.Trace(err)
	}
	if m.state.To != d.To {
		m.state = State{}
	}
	if known, ok := c.known(d); ok && known.isAfter(m.state) {
		c.opts.Logger.Info("storing the state of the version move again; the store has lost it", "service", d.Service, "to", d.To, "phase", known.Phase, "share", known.Share)
		if err := c.write(ctx, m, known); err != nil {
			return nil, err
		}
	}
	if m.state.To == d.To {
		c.moves[d.Service] = m
		return m, nil
	}
	from, _ := sourceVersion(c.opts.Upstreams(), d.Service, d.To)
	if from == "" {
		return nil, nil
	}
	if err := c.write(ctx, m, State{
		Service: d.Service, From: from, To: d.To, Phase: PhaseRunning, DeadlineMs: now.Add(d.Within).UnixMilli(), StartedMs: now.UnixMilli(),
	}); err != nil {
		return nil, err
	}
	c.moves[d.Service] = m
	return m, nil
}

// known returns the state of a declared move that this daemon knows, if any.
func (c *Controller) known(d Declaration) (State, bool) {
	if c.opts.Known == nil {
		return State{}, false
	}
	state, ok := c.opts.Known(d.Service)
	return state, ok && state.To == d.To
}

// write stores the next state if the stored object is unchanged.
func (c *Controller) write(ctx context.Context, m *trackedMove, next State) error {
	next.Step++
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	version := m.version
	if version == 0 {
		version = objectclient.MustNotExist
	}
	stored, err := c.opts.Store.Put(ctx, stateKind, next.Service, version, value)
	if err != nil {
		// Another holder may have written the state, so the next pass reads it from
		// the store.
		delete(c.moves, next.Service)
		return errors.Trace(err)
	}
	m.state, m.version = next, stored.Version
	if c.opts.OnChange != nil {
		c.opts.OnChange(next.Service, RevisionedState{State: next, Revision: stored.Version})
	}
	return nil
}

// sourceVersion returns the version, other than to, that most live upstreams of a
// service have, and whether any live upstream has version to.
func sourceVersion(upstreams []membership.Instance, service, to string) (from string, ready bool) {
	counts := map[string]int{}
	for _, u := range upstreams {
		if u.Pool != service || u.State != membership.StateLive {
			continue
		}
		if u.Version == to {
			ready = true
			continue
		}
		counts[u.Version]++
		if counts[u.Version] > counts[from] || from == "" {
			from = u.Version
		}
	}
	return from, ready
}
