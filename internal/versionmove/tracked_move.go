package versionmove

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// handoverTime is the time between the switch to the new version and the report that the move
// is complete, at which the old upstreams are stopped. It lets all daemons switch, and short
// requests end.
const handoverTime = 150 * time.Millisecond

// trackedMove is the holder's record of a move.
type trackedMove struct {
	state State
	// version is the version of the stored state, 0 before the first write.
	version objectclient.Revision
	// reportedPhase is the phase that was last reported to the operator.
	reportedPhase Phase
	// declaration is what was read last.
	declaration Declaration
	// results counts from when this holder created the move or first gave the new version a
	// share.
	results moveResults
	traffic *trafficCounter
	// switchAt is when the new version is planned to get all traffic.
	switchAt time.Time
	// reportAt is the earliest time to report the phase.
	reportAt time.Time
}

// isReported reports whether the outcome of a declared move was reported to the operator.
func (m *trackedMove) isReported(d Declaration) bool {
	return m.state.isOf(d) && m.state.Phase != PhaseRunning && m.reportedPhase == m.state.Phase
}

// loadOrCreate returns the record of a declared move. It continues a move that an earlier
// holder began, and returns nil while no version is known that the service moves from.
func (c *Controller) loadOrCreate(ctx context.Context, d Declaration) (*trackedMove, error) {
	if m := c.moves[d.Service]; m != nil && m.state.isOf(d) {
		return m, nil
	}
	m, err := c.load(ctx, d.Service)
	if err != nil {
		return nil, err
	}
	if known, ok := c.known(d.Service); ok && known.isAfter(m.state) {
		c.opts.Logger.Info("storing the state of the version move again; the store has lost it", "service", d.Service, "to", known.To, "phase", known.Phase, "share", known.Share)
		if err := c.write(ctx, m, known); err != nil {
			return nil, err
		}
	}
	if m.state.isOf(d) {
		m.traffic = newTrafficCounter(d.Service, d.To, nil)
		c.moves[d.Service] = m
		return m, nil
	}
	first, ok := m.state.next(d, c.opts.Upstreams(), c.opts.Now())
	if !ok {
		return nil, nil
	}
	if err := c.write(ctx, m, first); err != nil {
		return nil, err
	}
	m.results.reset(c.sums(first))
	m.traffic = newTrafficCounter(d.Service, d.To, c.opts.Ledger.Processes())
	c.moves[d.Service] = m
	return m, nil
}

// load returns a record with the stored state of a service's latest move, which is empty if
// there is none.
func (c *Controller) load(ctx context.Context, service string) (*trackedMove, error) {
	m := &trackedMove{}
	stored, err := c.opts.Store.Get(ctx, stateKind, service)
	if errors.Is(err, objectclient.ErrNotFound) {
		return m, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.version = stored.Version
	if err := json.Unmarshal(stored.Value, &m.state); err != nil {
		c.opts.Logger.Warn("cannot decode the stored state of the version move; replacing it", "service", service, "error", err)
		m.state = State{}
	}
	return m, nil
}

// known returns the state of a service's latest move that this daemon knows, if any.
func (c *Controller) known(service string) (State, bool) {
	if c.opts.Known == nil {
		return State{}, false
	}
	return c.opts.Known(service)
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
