package versionmove

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

const (
	// followEvery is how often a daemon looks whether services have upstreams of
	// two versions, and reads the states of their moves.
	followEvery = time.Second
)

// Follower keeps, for each service with upstreams of two versions, the state of
// its move. It is safe for concurrent use.
type Follower struct {
	// Store, Upstreams and Logger are required.
	Store     objectclient.Store
	Upstreams func() []membership.Instance
	Logger    *log.Logger
	// Changed is called after a change of a state.
	Changed func()

	// failing belongs to Run.
	failing bool

	mu     sync.Mutex
	states map[string]State
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	return periodic.Every(ctx, followEvery, f.reconcile)
}

// States returns the moves by service, ended ones too while upstreams of both
// versions are there.
func (f *Follower) States() map[string]State {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]State, len(f.states))
	for service, s := range f.states {
		out[service] = s
	}
	return out
}

// Moving reports whether a service has a move that runs.
func (f *Follower) Moving(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[service].Phase == Running
}

func (f *Follower) reconcile(ctx context.Context) {
	live := map[string]map[string]int{}
	for _, u := range f.Upstreams() {
		if live[u.Pool] == nil {
			live[u.Pool] = map[string]int{}
		}
		live[u.Pool][u.Version]++
	}
	changed, failed := false, false
	for service, counts := range live {
		if len(counts) < 2 {
			changed = f.forget(service) || changed
			continue
		}
		state, err := f.read(ctx, service)
		switch {
		case err == nil:
			changed = f.set(service, state) || changed
		case errors.Is(err, objectclient.ErrNotFound):
		default:
			// What was read last stays; the new version gets no more meanwhile.
			failed = true
			if !f.failing && ctx.Err() == nil {
				f.Logger.Warn("move could not be read", "service", service, "error", err)
			}
		}
	}
	f.failing = failed
	if changed && f.Changed != nil {
		f.Changed()
	}
}

// forget drops the move of a service with upstreams of one version.
func (f *Follower) forget(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.states[service]; !known {
		return false
	}
	delete(f.states, service)
	return true
}

func (f *Follower) set(service string, s State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states == nil {
		f.states = map[string]State{}
	}
	if f.states[service] == s {
		return false
	}
	f.Logger.Info("follows the move of a service", "service", service, "from", s.From, "to", s.To, "phase", s.Phase, "share", s.Share)
	f.states[service] = s
	return true
}

func (f *Follower) read(ctx context.Context, service string) (State, error) {
	stored, err := f.Store.Get(ctx, stateKind, service)
	if err != nil {
		return State{}, err
	}
	var s State
	if err := json.Unmarshal(stored.Value, &s); err != nil {
		return State{}, errors.Annotatef(err, "state of the move of %s", service)
	}
	return s, nil
}
