package versionmove

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// followerFixture is a Follower with a simulated clock and a service that has
// upstreams of two versions.
type followerFixture struct {
	*Follower
	store      *objecttest.Store
	now        time.Time
	readsStore bool
}

func newFollower(t *testing.T) *followerFixture {
	f := &followerFixture{store: objecttest.New(), now: time.Unix(1000, 0)}
	f.Follower = &Follower{
		Store: f.store, Logger: telemetry.Discard(), ReadsStore: func() bool { return f.readsStore }, Now: func() time.Time { return f.now },
		Upstreams: func() []membership.Instance {
			return []membership.Instance{{Name: "a", Pool: "llm", Version: "v1"}, {Name: "b", Pool: "llm", Version: "v2"}}
		},
	}
	return f
}

// write stores the state of the move and returns its revision.
func (f *followerFixture) write(t *testing.T, s State) objectclient.Revision {
	value, err := json.Marshal(s)
	assert.NilError(t, err)
	stored, err := f.store.Put(t.Context(), stateKind, "llm", objectclient.AnyVersion, value)
	assert.NilError(t, err)
	return stored.Version
}

// IsMoving reports whether a service has a running move.
func (f *Follower) IsMoving(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[service].State.Phase == PhaseRunning
}

// Guards against store calls that grow with the number of daemons during a version
// move, and against a daemon that cannot reach the store and continues to send
// requests to a version whose move was undone.
func TestFollowerUsesPeerStates(t *testing.T) {
	f := newFollower(t)
	running := State{Service: "llm", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.1}
	revision := f.write(t, running)
	f.Merge(map[string]RevisionedState{"llm": {State: running, Revision: revision}}, true)
	before := f.store.Calls().Total()
	f.reconcile(t.Context())
	assert.Equal(t, f.store.Calls().Total(), before)
	assert.Assert(t, f.IsMoving("llm"))

	f.store.SetOutage(true)
	undone := running
	undone.Phase, undone.Share = PhaseUndone, 0
	f.Merge(map[string]RevisionedState{"llm": {State: undone, Revision: revision + 1}}, true)
	assert.Assert(t, !f.IsMoving("llm"))
	f.Merge(map[string]RevisionedState{"llm": {State: running, Revision: revision}}, true)
	assert.Assert(t, !f.IsMoving("llm"), "an older state replaced a newer one")
}

// Guards against a stale state after the daemons that read the store are gone.
func TestFollowerReadsStoreWithoutPeerStates(t *testing.T) {
	f := newFollower(t)
	running := State{Service: "llm", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.1}
	revision := f.write(t, running)
	f.Merge(map[string]RevisionedState{"llm": {State: running, Revision: revision}}, true)
	next := running
	next.Share = 0.5
	f.write(t, next)
	f.now = f.now.Add(peerStateTTL)
	f.reconcile(t.Context())
	assert.Equal(t, f.States()["llm"].Share, 0.5)
}

// Guards against daemons that bring a move back to each other after all of them have
// forgotten it, as the service has upstreams of one version again.
func TestForgottenMoveStaysForgotten(t *testing.T) {
	f := newFollower(t)
	undone := map[string]RevisionedState{"llm": {State: State{Service: "llm", From: "v1", To: "v2", Phase: PhaseUndone}, Revision: 7}}
	f.Merge(undone, false)
	assert.Equal(t, len(f.States()), 1)
	f.Upstreams = func() []membership.Instance { return []membership.Instance{{Name: "a", Pool: "llm", Version: "v1"}} }
	f.reconcile(t.Context())
	f.Merge(undone, false)
	assert.Equal(t, len(f.States()), 0)
}

// Guards against a state that counts as current because a daemon that does not read the
// store passes it on.
func TestPassedOnStateIsNotCurrent(t *testing.T) {
	f := newFollower(t)
	running := State{Service: "llm", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.1}
	revision := f.write(t, running)
	f.Merge(map[string]RevisionedState{"llm": {State: running, Revision: revision}}, false)
	before := f.store.Calls().Total()
	f.reconcile(t.Context())
	assert.Assert(t, f.store.Calls().Total() > before)
}

// Guards against upstreams of a version that was taken back that count as capacity, so that
// others are ordered away just before they leave, and against a service whose capacity is
// never adapted again because one of them stays.
func TestMoveSettlesAfterItsEnd(t *testing.T) {
	f := newFollower(t)
	f.Merge(map[string]RevisionedState{"llm": {State: State{Service: "llm", From: "v1", To: "v2", Phase: PhaseUndone}, Revision: 7}}, false)
	assert.Assert(t, !f.IsMoving("llm") && f.IsUnsettled("llm"))
	f.now = f.now.Add(maxSettleTime)
	f.Merge(map[string]RevisionedState{"llm": {State: State{Service: "llm", From: "v1", To: "v2", Phase: PhaseUndone}, Revision: 7}}, true)
	assert.Assert(t, !f.IsUnsettled("llm"), "an upstream stays")

	f.Merge(map[string]RevisionedState{"llm": {State: State{Service: "llm", From: "v1", To: "v3", Phase: PhaseDone}, Revision: 8}}, true)
	assert.Assert(t, f.IsUnsettled("llm"))
	f.Upstreams = func() []membership.Instance {
		return []membership.Instance{{Name: "a", Pool: "llm", Version: "v3"}, {Name: "b", Pool: "llm", Version: "v1", State: membership.StateLeaving}}
	}
	assert.Assert(t, !f.IsUnsettled("llm"), "the last upstream is leaving")
}

// Guards against a daemon that hears of the end of a move after the old upstreams have left,
// and refuses requests because it still waits for them.
func TestEndOfMoveAfterOldUpstreamsLeft(t *testing.T) {
	f := newFollower(t)
	running := State{Service: "llm", From: "v1", To: "v2", Phase: PhaseRunning, Share: 0.04}
	f.Merge(map[string]RevisionedState{"llm": {State: running, Revision: 7}}, true)
	f.Upstreams = func() []membership.Instance { return []membership.Instance{{Name: "b", Pool: "llm", Version: "v2"}} }
	f.reconcile(t.Context())
	done := running
	done.Phase, done.Share = PhaseDone, 1
	f.Merge(map[string]RevisionedState{"llm": {State: done, Revision: 8}}, true)
	assert.Equal(t, f.RoutedStates()["llm"].Share, 1.0)
	f.reconcile(t.Context())
	assert.Equal(t, len(f.States()), 0)
	f.Merge(map[string]RevisionedState{"llm": {State: done, Revision: 8}}, true)
	assert.Equal(t, len(f.States()), 0, "another daemon brings it back")
}
