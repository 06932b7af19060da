package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
	"rattantide/internal/telemetry"
)

const (
	// A move is reconciled intervalDivisor times within its deadline, but with
	// an interval between minInterval and maxInterval.
	intervalDivisor = 200
	minInterval     = 100 * time.Millisecond
	maxInterval     = 2 * time.Second
	idleInterval    = time.Second
	callTimeout     = 3 * time.Second
	// refreshDivisor is the maximum number of writes of the status, within the
	// deadline, that only refresh its evidence.
	refreshDivisor = 20
)

// Controller carries out the moves whose lease this daemon holds. It acts on the
// state that it reads, so that another holder can continue at any point. It is not
// safe for concurrent use.
type Controller struct {
	opts  ControllerOptions
	moves map[moveKey]*collectedEvidence
	// writtenAt is when the status of each move was last written, in the store's
	// time.
	writtenAt map[string]time.Time

	writes, conflicts, failures, done, undone tally.Counter
}

// NewController returns a Controller.
func NewController(opts ControllerOptions) *Controller {
	if opts.Logger == nil {
		opts.Logger = telemetry.Discard()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = callTimeout
	}
	scope := opts.Scope.SubScope("rollout")
	return &Controller{
		opts:      opts,
		moves:     map[moveKey]*collectedEvidence{},
		writtenAt: map[string]time.Time{},
		writes:    scope.Counter("status_writes"),
		conflicts: scope.Counter("status_conflicts"),
		failures:  scope.Counter("status_failures"),
		done:      scope.Counter("moves_done"),
		undone:    scope.Counter("moves_undone"),
	}
}

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		changed := c.opts.Config.Changed()
		wait := c.Reconcile(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
			timer.Stop()
			// The change may have been made by this controller. Waiting for the
			// minimum interval prevents a busy loop.
			timer.Reset(minInterval)
			select {
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			case <-timer.C:
			}
		case <-timer.C:
		}
	}
}

// Reconcile advances each move once and returns the time until the next call.
func (c *Controller) Reconcile(ctx context.Context) time.Duration {
	view := c.opts.Config.Snapshot()
	wait := idleInterval
	for _, m := range view.Moves {
		ended := m.Ended()
		if ended && !c.isPoolBehind(view, m) {
			c.forget(m)
			continue
		}
		duty := "move/" + m.Name
		c.opts.Leases.Want(duty)
		wait = min(wait, min(max(m.Spec.Deadline.AsDuration()/intervalDivisor, minInterval), maxInterval))
		fence, ok := c.opts.Leases.Held(duty)
		if !ok {
			continue
		}
		var err error
		if ended {
			err = c.writePool(ctx, m)
		} else {
			err = c.advance(ctx, m.Name, fence)
		}
		if err != nil {
			c.failures.Inc(1)
			c.opts.Logger.Warn("cannot advance the version move; trying again", "move", m.Name, "err", err)
		}
	}
	return wait
}

// forget discards the records of a move that has ended.
func (c *Controller) forget(m *configsync.Move) {
	delete(c.writtenAt, m.Name)
	if m.Status != nil {
		delete(c.moves, keyOf(m))
	}
}

// isPoolBehind reports whether a move is done but its version has not yet been
// written to the pool.
func (c *Controller) isPoolBehind(view *configsync.View, m *configsync.Move) bool {
	pool := view.Pools[m.Spec.Pool]
	return pool != nil && m.Status.Phase == api.MoveDone && pool.Version == m.Spec.From &&
		view.Objects[api.KindPool][m.Spec.Pool].Version < m.Version
}

// advance reads the move, decides, and writes the status if it has changed or its
// evidence is due for a refresh.
func (c *Controller) advance(ctx context.Context, name string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	object, err := c.opts.Store.Get(ctx, string(api.KindVersionMove), name)
	if errors.Is(err, objectclient.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	// The watch may lag behind the object that was read.
	c.opts.Config.Apply(*object)
	now, ok := c.opts.Store.Now()
	if !ok {
		return errors.New("the object API has not returned its time yet")
	}
	decoded, err := api.DecodeStored(api.KindVersionMove, name, object.Version, object.Value)
	if err != nil {
		return errors.Trace(err)
	}
	m := &configsync.Move{Name: name, Version: object.Version, Spec: decoded.Typed.(*api.VersionMove), Status: decoded.MoveStatus}
	if m.Ended() || (m.Status != nil && m.Status.Fence > fence) {
		return nil
	}
	status := c.next(ctx, m, now)
	if status == nil {
		return nil
	}
	// The lease may have expired while evidence was collected, or while this
	// process was suspended.
	if current, ok := c.opts.Leases.Held("move/" + name); !ok || current != fence {
		return nil
	}
	status.Fence = fence
	return c.write(ctx, object, status, now)
}

// next returns the status to write, or nil if neither the phase nor the share has
// changed and the evidence in the status is not due for a refresh.
func (c *Controller) next(ctx context.Context, m *configsync.Move, now time.Time) *api.MoveStatus {
	if m.Status == nil || m.Status.DeadlineMs == 0 {
		status := &api.MoveStatus{DeclaredMs: now.UnixMilli()}
		if m.Status != nil && m.Status.DeclaredMs > 0 {
			status.DeclaredMs = m.Status.DeclaredMs
		}
		status.Phase, status.Share = api.MoveRunning, Stages[0]
		status.ShareSinceMs = now.UnixMilli()
		status.DeadlineMs = status.DeclaredMs + m.Spec.Deadline.AsDuration().Milliseconds()
		status.Reason = "the move starts"
		return status
	}
	state := StateOf(m)
	collected := c.collect(ctx, m, &state, now)
	evidence := collected.evidence()
	var d Decision
	if collected.verdict != nil {
		d = undone(collected.verdict.Reason + " (found by " + collected.verdict.Daemon + ")")
		d.Verdict = api.VerdictBad
	} else {
		d = Decide(state, evidence, now)
	}
	old := m.Status
	refresh := state.duration() / refreshDivisor
	if d.Phase == old.Phase && d.Share == old.Share && now.Sub(c.writtenAt[m.Name]) < refresh {
		return nil
	}
	status := *old
	status.Phase, status.Share, status.Reason = d.Phase, d.Share, d.Reason
	if d.Verdict != "" {
		status.Verdict = d.Verdict
	}
	status.Evidence = evidence.Summary(state.From, state.To)
	if status.Share != old.Share || old.ShareSinceMs == 0 {
		status.ShareSinceMs = now.UnixMilli()
	}
	if d.Phase.HasEnded() {
		status.EndedMs = now.UnixMilli()
	}
	return &status
}

// collect merges the evidence of this daemon and, once per time slot, that of its
// peers. The latest slot was not complete and is requested again, so that each
// slot is sent about twice. Evidence of a peer that did not answer is missing
// here; the peer's Guard still judges it.
func (c *Controller) collect(ctx context.Context, m *configsync.Move, state *State, now time.Time) *collectedEvidence {
	key := keyOf(m)
	collected := c.moves[key]
	if collected == nil {
		collected = &collectedEvidence{lastPeerSlot: -1}
		c.moves[key] = collected
	}
	local := c.opts.Guard.Report(m.Name, key.declaredMs, 0)
	collected.merge(&local)
	if slot := state.slot(now); c.opts.Peers != nil && slot != collected.lastPeerSlot {
		for _, r := range c.opts.Peers.Collect(ctx, m.Name, key.declaredMs, max(0, collected.lastPeerSlot)) {
			if r.Move == m.Name && r.DeclaredMs == key.declaredMs && r.Daemon != local.Daemon {
				collected.merge(&r)
			}
		}
		collected.lastPeerSlot = slot
	}
	if collected.verdict != nil {
		c.opts.Guard.Import(*collected.verdict)
	}
	return collected
}

// write replaces the status of a move if the object is unchanged.
func (c *Controller) write(ctx context.Context, object *objectclient.Object, status *api.MoveStatus, now time.Time) error {
	value, err := withStatus(object.Value, status)
	if err != nil {
		return errors.Trace(err)
	}
	stored, err := c.opts.Store.Put(ctx, object.Kind, object.Name, object.Version, value)
	if errors.Is(err, objectclient.ErrConflict) {
		// Another writer was first; the next pass reads its state.
		c.conflicts.Inc(1)
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	c.writes.Inc(1)
	c.writtenAt[object.Name] = now
	c.opts.Config.Apply(*stored)
	switch status.Phase {
	case api.MoveDone:
		c.done.Inc(1)
	case api.MoveUndone:
		c.undone.Inc(1)
	}
	c.opts.Logger.Info("wrote the status of the version move", "move", object.Name, "phase", status.Phase, "share", status.Share, "reason", status.Reason)
	return nil
}

// withStatus returns the stored value with its status replaced.
func withStatus(value json.RawMessage, status *api.MoveStatus) (json.RawMessage, error) {
	var stored api.StoredValue
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil, err
	}
	stored.Status = encoded
	return json.Marshal(stored)
}

// writePool writes the new version to the pool after the move is done. A later
// change by an operator takes precedence.
func (c *Controller) writePool(ctx context.Context, m *configsync.Move) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	object, err := c.opts.Store.Get(ctx, string(api.KindPool), m.Spec.Pool)
	if errors.Is(err, objectclient.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	c.opts.Config.Apply(*object)
	if object.Version > m.Version {
		return nil
	}
	var stored api.StoredValue
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return errors.Trace(err)
	}
	// Fields that this version of the program does not know are retained.
	spec := map[string]json.RawMessage{}
	if err := json.Unmarshal(stored.Spec, &spec); err != nil {
		return errors.Trace(err)
	}
	if spec["version"], err = json.Marshal(m.Spec.To); err != nil {
		return errors.Trace(err)
	}
	if stored.Spec, err = json.Marshal(spec); err != nil {
		return errors.Trace(err)
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return errors.Trace(err)
	}
	updated, err := c.opts.Store.Put(ctx, object.Kind, object.Name, object.Version, value)
	if errors.Is(err, objectclient.ErrConflict) {
		c.conflicts.Inc(1)
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	c.opts.Config.Apply(*updated)
	return nil
}
