package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/objectclient"
)

// fakeStore stores objects in memory and can be made unavailable.
type fakeStore struct {
	objectclient.Store
	mu          sync.Mutex
	unavailable bool
	revision    objectclient.Revision
	objects     map[string]objectclient.Object
}

func (s *fakeStore) Now() (time.Time, bool) { return time.Now(), true }

func (s *fakeStore) setUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = down
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (*objectclient.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, objectclient.ErrUnavailable
	}
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return nil, objectclient.ErrNotFound
	}
	return &o, nil
}

func (s *fakeStore) Put(_ context.Context, kind, name string, version objectclient.Revision, value json.RawMessage) (*objectclient.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, objectclient.ErrUnavailable
	}
	current := s.objects[kind+"/"+name]
	if current.Version != version {
		return &current, objectclient.ErrConflict
	}
	s.revision++
	o := objectclient.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[kind+"/"+name] = o
	return &o, nil
}

// fakeLeases holds every lease while held is true.
type fakeLeases struct{ held bool }

func (*fakeLeases) Want(string)                 {}
func (l *fakeLeases) Held(string) (int64, bool) { return 7, l.held }

// controllerFixture is a Controller with a Guard, a pool and a declared move.
type controllerFixture struct {
	store  *fakeStore
	config *configsync.Cache
	guard  *Guard
	leases *fakeLeases
	*Controller
}

// newControllerFixture returns a fixture with one pool and one move, each named
// after its kind.
func newControllerFixture(t *testing.T, deadline time.Duration) *controllerFixture {
	f := &controllerFixture{store: &fakeStore{objects: map[string]objectclient.Object{}}, config: configsync.NewCache(),
		leases: &fakeLeases{held: true}}
	f.guard = NewGuard(GuardOptions{Daemon: "d1", StoreNow: f.store.Now})
	f.Controller = NewController(ControllerOptions{Store: f.store, Config: f.config, Leases: f.leases, Guard: f.guard})
	for kind, spec := range map[api.Kind]any{
		api.KindPool:        map[string]any{"type": "chat", "version": "v1", "fencing": "ignored", "unknown": true},
		api.KindVersionMove: api.VersionMove{Pool: "Pool", From: "v1", To: "v2", Deadline: api.Duration(deadline)},
	} {
		encoded, err := json.Marshal(spec)
		assert.NilError(t, err)
		value, err := json.Marshal(api.StoredValue{Spec: encoded})
		assert.NilError(t, err)
		o, err := f.store.Put(context.Background(), string(kind), string(kind), 0, value)
		assert.NilError(t, err)
		f.config.Apply(*o)
	}
	return f
}

func (f *controllerFixture) move() *configsync.Move {
	return f.config.Snapshot().Moves[string(api.KindVersionMove)]
}

// serve sends requests for a duration, as the dispatcher would. fails makes those
// to the new version fail.
func (f *controllerFixture) serve(d time.Duration, fails bool) {
	f.serveWith(d, func(s *dispatch.MoveSample) { s.Failed = fails && s.Version == "v2" })
}

// serveWith sends requests for a duration; change modifies each sample before the
// Guard observes it.
func (f *controllerFixture) serveWith(d time.Duration, change func(*dispatch.MoveSample)) {
	for i := 0; i < int(d/(20*time.Millisecond)); i++ {
		time.Sleep(20 * time.Millisecond)
		m := f.move()
		version := "v1"
		if dispatch.InShare(m.Name, fmt.Sprint(i), f.guard.Share(m)) {
			version = "v2"
		}
		s := dispatch.MoveSample{Move: m, Version: version, Route: "r", Latency: time.Duration(50+i%20) * time.Millisecond,
			StartedAt: time.Now(), EndedAt: time.Now()}
		change(&s)
		f.guard.Observe(s)
	}
}

// run runs the Controller while body runs.
func (f *controllerFixture) run(t *testing.T, body func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Run(ctx)
	}()
	body()
	cancel()
	<-ended
}

// Guards against a move that does not finish, skips a stage, or leaves the old
// version in the pool.
func TestControllerFinishesAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(t, 30*time.Second)
		f.run(t, func() { f.serve(29*time.Second, false) })
		m := f.move()
		assert.Equal(t, m.Status.Phase, api.MoveDone, m.Status.Reason)
		assert.Equal(t, m.Status.Verdict, api.VerdictGood)
		assert.Equal(t, m.Status.Fence, int64(7))
		assert.Assert(t, len(m.Status.Evidence) >= 2)
		view := f.config.Snapshot()
		assert.Equal(t, view.Pools["Pool"].Version, "v2")
		assert.Equal(t, view.EffectiveVersion("Pool"), "v2")
		pool, err := f.store.Get(context.Background(), "Pool", "Pool")
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(pool.Value) && string(pool.Value) != "")
		assert.Assert(t, containsUnknown(pool.Value), "unknown fields were dropped: %s", pool.Value)
	})
}

// containsUnknown reports whether a stored pool still has the field "unknown", which
// the program does not define.
func containsUnknown(value json.RawMessage) bool {
	var stored struct{ Spec map[string]any }
	return json.Unmarshal(value, &stored) == nil && stored.Spec["unknown"] == true
}

// Guards against sending to a bad version, or losing the verdict, while the object
// API is unavailable, and against losing the reason after the outage.
func TestVerdictSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(t, 60*time.Second)
		f.run(t, func() {
			f.serve(15*time.Second, false)
			f.store.setUnavailable(true)
			f.serve(10*time.Second, true)
			assert.Equal(t, f.guard.Share(f.move()), 0.0)
			assert.Equal(t, len(f.guard.Verdicts()), 1)
			f.store.setUnavailable(false)
			time.Sleep(5 * time.Second)
		})
		m := f.move()
		assert.Equal(t, m.Status.Phase, api.MoveUndone)
		assert.Equal(t, m.Status.Verdict, api.VerdictBad)
		assert.Assert(t, m.Status.Reason != "")
		assert.Equal(t, f.config.Snapshot().EffectiveVersion("Pool"), "v1")
	})
}

// Guards against a move that continues past its deadline while the object API is
// unavailable or no daemon holds the lease, and against daemons that disagree
// about its end.
func TestMoveEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(t, 20*time.Second)
		f.run(t, func() {
			f.serve(8*time.Second, false)
			f.store.setUnavailable(true)
			assert.Assert(t, f.guard.Share(f.move()) > 0)
			time.Sleep(12 * time.Second)
			phase, ended := EffectivePhase(f.move(), time.Now())
			assert.Assert(t, ended)
			assert.Equal(t, phase, api.MoveUndone)
			assert.Equal(t, f.guard.Share(f.move()), 0.0)
			f.store.setUnavailable(false)
			time.Sleep(2 * time.Second)
		})
		assert.Equal(t, f.move().Status.Phase, api.MoveUndone)
		assert.Assert(t, f.move().Status.Reason != "")
	})
}

// Guards against a write by a daemon that does not hold the lease, or whose
// fencing token is older than that of the last writer.
func TestOnlyTheHolderWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(t, 20*time.Second)
		f.leases.held = false
		f.Reconcile(context.Background())
		assert.Assert(t, f.move().Status == nil)
		f.leases.held = true
		f.Reconcile(context.Background())
		assert.Equal(t, f.move().Status.Share, Stages[0])
		o, err := f.store.Get(context.Background(), "VersionMove", "VersionMove")
		assert.NilError(t, err)
		status := *f.move().Status
		status.Fence = 8
		value, err := withStatus(o.Value, &status)
		assert.NilError(t, err)
		o, err = f.store.Put(context.Background(), o.Kind, o.Name, o.Version, value)
		assert.NilError(t, err)
		time.Sleep(30 * time.Second)
		f.Reconcile(context.Background())
		assert.Equal(t, f.move().Version, o.Version)
	})
}

// Guards against ignoring answers that take longer than the move: their first
// tokens must count, for a good version and against a slow one.
func TestLongAnswersInAShortMove(t *testing.T) {
	for factor, phase := range map[time.Duration]api.MovePhase{1: api.MoveDone, 3: api.MoveUndone} {
		synctest.Test(t, func(t *testing.T) {
			f := newControllerFixture(t, 10*time.Second)
			f.run(t, func() {
				f.serveWith(9900*time.Millisecond, func(s *dispatch.MoveSample) {
					s.InProgress = true
					if s.Version == "v2" {
						s.Latency *= factor
					}
				})
			})
			assert.Equal(t, f.move().Status.Phase, phase, f.move().Status.Reason)
		})
	}
}

// fakePeers returns the evidence of another Guard and counts the rows.
type fakePeers struct {
	guard *Guard
	rows  int
}

func (p *fakePeers) Collect(_ context.Context, move string, declaredMs, since int64) []Report {
	r := p.guard.Report(move, declaredMs, since)
	p.rows += len(r.Rows)
	return []Report{r}
}

// Guards against evidence of peers that is not used, is counted twice, or is sent
// again and again.
func TestEvidenceOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(t, 60*time.Second)
		local := f.guard
		peers := &fakePeers{guard: NewGuard(GuardOptions{Daemon: "d2", StoreNow: f.store.Now})}
		f.opts.Peers = peers
		f.guard = peers.guard
		f.run(t, func() { f.serve(58*time.Second, false) })
		assert.Equal(t, f.move().Status.Phase, api.MoveDone, f.move().Status.Reason)
		assert.Equal(t, len(local.Report("VersionMove", f.move().Status.DeclaredMs, 0).Rows), 0)
		report := peers.guard.Report("VersionMove", f.move().Status.DeclaredMs, 0)
		reported, counted := 0, 0
		ended := StateOf(f.move())
		for _, row := range report.Rows {
			if row.Slot < ended.slot(time.UnixMilli(f.move().Status.EndedMs)) {
				reported += row.Requests
			}
		}
		for _, e := range f.move().Status.Evidence {
			counted += int(e.Requests)
		}
		assert.Assert(t, counted >= reported*9/10 && counted <= reported*11/10, "the controller counted %d of %d requests", counted, reported)
		assert.Assert(t, peers.rows <= 3*len(report.Rows), "%d rows were sent for %d", peers.rows, len(report.Rows))
	})
}
