package versionmove

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

const (
	// followInterval is how often a daemon checks which services have upstreams
	// of two versions and refreshes the states of their moves.
	followInterval = time.Second
	// peerStateTTL is how long a state received from another daemon counts as
	// current. After that the daemon reads the store itself.
	peerStateTTL = 2500 * time.Millisecond
	// maxSettleTime is how long after the end of a move the upstreams of the losing version
	// are expected to leave.
	maxSettleTime = 15 * time.Second
)

// RevisionedState is the state of a move as daemons exchange it.
type RevisionedState struct {
	State State `json:"s"`
	// Revision is the version of the stored state.
	Revision objectclient.Revision `json:"r"`
}

// isOlder reports whether r is older than other. Revisions of one era of the store order
// states; across a restore, the states themselves do.
func (r RevisionedState) isOlder(other RevisionedState) bool {
	if r.Revision.Era() != other.Revision.Era() && !r.State.equal(other.State) {
		return other.State.isAfter(r.State)
	}
	return r.Revision < other.Revision
}

// Follower caches the state of the move of each service that has upstreams of two
// versions. It is safe for concurrent use.
type Follower struct {
	// Store, Upstreams, ReadsStore, Now and Logger are required.
	Store objectclient.Store
	// Upstreams returns all known upstreams.
	Upstreams func() []membership.Instance
	// ReadsStore reports whether this daemon reads moves from the store. Daemons
	// that do not read it receive the states from those that do.
	ReadsStore func() bool
	Now        func() time.Time
	Logger     *log.Logger
	// OnChange, when set, is called after a change of a state.
	OnChange func()

	// readFailing is true if the previous pass could not read a move, so that a
	// failure is logged once. Only Run accesses it.
	readFailing bool

	mu     sync.Mutex
	states map[string]followedMove
	// settled holds the latest states of services whose moves have settled.
	settled map[string]State
	// unservedSince is since when the serving version of a service has no upstreams, and
	// rerouted the set of services for which unservedTolerance has passed since then.
	unservedSince map[string]time.Time
	rerouted      map[string]bool
}

// followedMove is a cached state. receivedAt is when a daemon that reads the store last sent
// it; zero if none has.
type followedMove struct {
	RevisionedState
	receivedAt time.Time
	// changedAt is when this daemon learned of the state.
	changedAt time.Time
}

// Run refreshes the states until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	return periodic.Every(ctx, followInterval, f.reconcile)
}

// States returns the states of the moves by service. An ended move is included
// while the service has upstreams of both versions.
func (f *Follower) States() map[string]State {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]State, len(f.states))
	for service, s := range f.states {
		out[service] = s.State
	}
	return out
}

// Snapshot returns the states to send to other daemons, by service.
func (f *Follower) Snapshot() map[string]RevisionedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]RevisionedState, len(f.states))
	for service, s := range f.states {
		out[service] = s.RevisionedState
	}
	return out
}

// Merge applies the states that a daemon has sent. isCurrent reports whether it reads the
// store, so that there is no newer state. The state of a settled move that this daemon does
// not follow any more is only remembered: daemons forget it at different times, and would
// otherwise bring it back to each other.
func (f *Follower) Merge(moves map[string]RevisionedState, isCurrent bool) {
	var receivedAt time.Time
	if isCurrent {
		receivedAt = f.Now()
	}
	counts := f.versionCounts(isAny)
	changed := false
	for service, state := range moves {
		if isSettled(state.State, counts[service]) && !f.isFollowed(service) {
			f.remember(service, state.State)
			continue
		}
		changed = f.set(service, state, receivedAt) || changed
	}
	if changed && f.OnChange != nil {
		f.OnChange()
	}
}

// ApplyWritten applies a state that this daemon has written to the store as the holder of the
// duty.
func (f *Follower) ApplyWritten(service string, s RevisionedState) {
	f.Merge(map[string]RevisionedState{service: s}, true)
}

// isFollowed reports whether this daemon follows the move of a service.
func (f *Follower) isFollowed(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, followed := f.states[service]
	return followed
}

// Known returns the state of a service's latest move that this daemon knows, if any, also of
// one that has settled.
func (f *Follower) Known(service string) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if move, ok := f.states[service]; ok {
		return move.State, true
	}
	state, ok := f.settled[service]
	return state, ok
}

// IsUnsettled reports whether a service has a running move, or one that ended a short time
// ago while live upstreams have other versions than the serving one. The number of upstreams
// then does not show the capacity.
func (f *Follower) IsUnsettled(service string) bool {
	f.mu.Lock()
	move, known := f.states[service]
	f.mu.Unlock()
	if !known || move.State.Phase == PhaseRunning {
		return known
	}
	return f.Now().Sub(move.changedAt) < maxSettleTime && f.hasOtherUpstreams(service, move.State.serving())
}

// hasOtherUpstreams reports whether a service has upstreams of other versions that are not
// leaving.
func (f *Follower) hasOtherUpstreams(service, version string) bool {
	return slices.ContainsFunc(f.Upstreams(), func(u membership.Instance) bool {
		return u.Pool == service && u.Version != version && u.IsStaying()
	})
}

// reconcile forgets the moves that have settled and refreshes the others from the store
// where no other daemon has sent a recent state.
func (f *Follower) reconcile(ctx context.Context) {
	changed, failed := f.recordUnserved(), false
	for service, counts := range f.versionCounts(isAny) {
		if f.isSettled(service, counts) {
			changed = f.forget(service) || changed
			continue
		}
		if !f.ReadsStore() && f.hasFreshPeerState(service) {
			continue
		}
		state, err := f.read(ctx, service)
		switch {
		case err == nil:
			changed = f.set(service, state, time.Time{}) || changed
		case errors.Is(err, objectclient.ErrNotFound):
		default:
			// The last known state stays in effect, so that the share of the new
			// version does not grow meanwhile.
			failed = true
			if !f.readFailing && ctx.Err() == nil {
				f.Logger.Warn("cannot read the version move; using its last known state", "service", service, "error", err)
			}
		}
	}
	f.readFailing = failed
	if changed && f.OnChange != nil {
		f.OnChange()
	}
}

// isAny includes all upstreams.
func isAny(membership.Instance) bool { return true }

// versionCounts returns the number of known upstreams by service and version, of those that
// are included.
func (f *Follower) versionCounts(isIncluded func(membership.Instance) bool) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, u := range f.Upstreams() {
		if !isIncluded(u) {
			continue
		}
		if counts[u.Pool] == nil {
			counts[u.Pool] = map[string]int{}
		}
		counts[u.Pool][u.Version]++
	}
	return counts
}

// hasFreshPeerState reports whether another daemon has sent the state of a
// service's move within peerStateTTL.
func (f *Follower) hasFreshPeerState(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().Sub(f.states[service].receivedAt) < peerStateTTL
}

// set replaces the cached state unless next is older, and reports whether the
// state has changed. receivedAt is zero if next was read from the store.
func (f *Follower) set(service string, next RevisionedState, receivedAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states == nil {
		f.states = map[string]followedMove{}
	}
	previous, isKnown := f.states[service]
	if isKnown && next.isOlder(previous.RevisionedState) {
		return false
	}
	if receivedAt.IsZero() {
		receivedAt = previous.receivedAt
	}
	changedAt := previous.changedAt
	if !next.State.equal(previous.State) {
		changedAt = f.Now()
	}
	f.states[service] = followedMove{RevisionedState: next, receivedAt: receivedAt, changedAt: changedAt}
	if next.State.equal(previous.State) {
		return false
	}
	s := next.State
	f.Logger.Info("state of a version move updated", "service", service, "from", s.From, "to", s.To, "phase", s.Phase, "share", s.Share)
	return true
}

// read returns the stored state of a service's move.
func (f *Follower) read(ctx context.Context, service string) (RevisionedState, error) {
	stored, err := f.Store.Get(ctx, stateKind, service)
	if err != nil {
		return RevisionedState{}, err
	}
	state := RevisionedState{Revision: stored.Version}
	if err := json.Unmarshal(stored.Value, &state.State); err != nil {
		return RevisionedState{}, errors.Annotatef(err, "decoding the stored state of the move of service %s", service)
	}
	return state, nil
}
