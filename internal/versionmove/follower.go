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
	// toldLife is how long a daemon goes by what others tell of a move before it
	// reads the store itself.
	toldLife = 2500 * time.Millisecond
)

// Told is what daemons tell each other of a move.
type Told struct {
	State State `json:"s"`
	// Revision is the store's revision of the state.
	Revision int64 `json:"r"`
}

// Follower keeps, for each service with upstreams of two versions, the state of
// its move. It is safe for concurrent use.
type Follower struct {
	// Store, Upstreams, Direct, Now and Logger are required.
	Store     objectclient.Store
	Upstreams func() []membership.Instance
	// Direct reports whether this daemon reads the store on its own; the others
	// hear of moves from those that do.
	Direct func() bool
	Now    func() time.Time
	Logger *log.Logger
	// Changed is called after a change of a state.
	Changed func()

	// failing belongs to Run.
	failing bool

	mu     sync.Mutex
	states map[string]followed
}

// followed is the state of a move and when another daemon told of it last.
type followed struct {
	Told
	toldAt time.Time
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
		out[service] = s.State
	}
	return out
}

// Tell returns what this daemon tells others.
func (f *Follower) Tell() map[string]Told {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Told, len(f.states))
	for service, s := range f.states {
		out[service] = s.Told
	}
	return out
}

// Heard takes over what a daemon that reads the store tells.
func (f *Follower) Heard(moves map[string]Told) {
	changed := false
	for service, told := range moves {
		changed = f.set(service, told, f.Now()) || changed
	}
	if changed && f.Changed != nil {
		f.Changed()
	}
}

// Moving reports whether a service has a move that runs.
func (f *Follower) Moving(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[service].State.Phase == Running
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
		if !f.Direct() && f.told(service) {
			continue
		}
		told, err := f.read(ctx, service)
		switch {
		case err == nil:
			changed = f.set(service, told, time.Time{}) || changed
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

// told reports whether others told of a service's move lately.
func (f *Follower) told(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().Sub(f.states[service].toldAt) < toldLife
}

// set takes over a state that is not older than the one known. toldAt is zero for
// one that was read from the store.
func (f *Follower) set(service string, next Told, toldAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states == nil {
		f.states = map[string]followed{}
	}
	before := f.states[service]
	if next.Revision < before.Revision {
		return false
	}
	if toldAt.IsZero() {
		toldAt = before.toldAt
	}
	f.states[service] = followed{Told: next, toldAt: toldAt}
	if next.State == before.State {
		return false
	}
	s := next.State
	f.Logger.Info("follows the move of a service", "service", service, "from", s.From, "to", s.To, "phase", s.Phase, "share", s.Share)
	return true
}

func (f *Follower) read(ctx context.Context, service string) (Told, error) {
	stored, err := f.Store.Get(ctx, stateKind, service)
	if err != nil {
		return Told{}, err
	}
	told := Told{Revision: stored.Version}
	if err := json.Unmarshal(stored.Value, &told.State); err != nil {
		return Told{}, errors.Annotatef(err, "state of the move of %s", service)
	}
	return told, nil
}
