package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/telemetry"
)

const (
	// judgeEvery bounds how often latencies are judged; failures always are.
	judgeEvery = 100 * time.Millisecond
	// maxTracked bounds the moves that a guard remembers.
	maxTracked = 64
)

// Guard enforces the share of running moves on one daemon, collects evidence,
// and stops sending to a version that is found bad, whether or not the object
// API can be reached. It implements dispatch.Moves and is safe for concurrent
// use.
type Guard struct {
	opts GuardOptions

	stall stall

	mu    sync.Mutex
	moves map[moveKey]*trackedMove

	samples, stalled, verdicts, imported tally.Counter
}

var _ dispatch.Moves = (*Guard)(nil)

// moveKey tells two moves of the same name apart by their declaration.
type moveKey struct {
	name       string
	declaredMs int64
}

// NewGuard returns a Guard.
func NewGuard(opts GuardOptions) *Guard {
	if opts.Daemons == nil {
		opts.Daemons = func() int { return 1 }
	}
	if opts.Logger == nil {
		opts.Logger = telemetry.Discard()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	scope := opts.Scope.SubScope("rollout")
	return &Guard{
		opts:     opts,
		moves:    map[moveKey]*trackedMove{},
		samples:  scope.Counter("samples"),
		stalled:  scope.Counter("stalled_samples"),
		verdicts: scope.Counter("verdicts"),
		imported: scope.Counter("imported_verdicts"),
	}
}

// Run watches for pauses of this daemon until ctx ends.
func (g *Guard) Run(ctx context.Context) { g.stall.run(ctx) }

func (g *Guard) now() time.Time {
	if g.opts.StoreNow != nil {
		if now, ok := g.opts.StoreNow(); ok {
			return now
		}
	}
	return time.Now()
}

// Share implements dispatch.Moves.
func (g *Guard) Share(m *configsync.Move) float64 {
	if m.Status == nil || m.Status.Verdict == api.VerdictBad {
		return 0
	}
	if phase, ended := Ended(m, g.now()); ended {
		if phase == api.MoveDone {
			return 1
		}
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.moves[keyOf(m)]; t != nil && t.verdict != nil {
		return 0
	}
	return m.Status.Share
}

func keyOf(m *configsync.Move) moveKey {
	return moveKey{name: m.Name, declaredMs: m.Status.DeclaredMs}
}

// Observe implements dispatch.Moves.
func (g *Guard) Observe(s dispatch.MoveSample) {
	if s.Move == nil || s.Move.Status == nil || s.Move.Status.ByMs == 0 {
		return
	}
	newer := s.Version == s.Move.Spec.To
	if !newer && s.Version != s.Move.Spec.From {
		return
	}
	if g.stall.covers(s.StartedAt, time.Now()) {
		g.stalled.Inc(1)
		return
	}
	now := g.now()
	g.mu.Lock()
	t := g.tracked(keyOf(s.Move), now)
	if s.Lost && !t.countLoss(&s) {
		g.mu.Unlock()
		return
	}
	state := StateOf(s.Move)
	g.samples.Inc(1)
	var found *Verdict
	if f := t.add(&s, state.slot(now), newer, now, g.level()); f != nil {
		found = &Verdict{
			Move: s.Move.Name, DeclaredMs: s.Move.Status.DeclaredMs, Daemon: g.opts.Daemon,
			Reason: f.Reason(s.Move.Spec.From, s.Move.Spec.To), AtMs: now.UnixMilli(),
		}
		t.verdict = found
	}
	g.mu.Unlock()
	if found == nil {
		return
	}
	g.verdicts.Inc(1)
	g.opts.Logger.Warn("new version found bad; sending no more requests to it", "move", found.Move, "reason", found.Reason)
	if g.opts.Peers != nil {
		g.opts.Peers.Tell(*found)
	}
}

// level is the rate of false alarms that this daemon may have in a move.
func (g *Guard) level() float64 {
	return FalsePositiveRate / 2 / float64(max(1, g.opts.Daemons()))
}

// Import accepts a verdict of a peer and reports whether it was new here. It
// is not told on, because the daemon that found it tells all.
func (g *Guard) Import(v Verdict) bool {
	if v.Move == "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tracked(moveKey{name: v.Move, declaredMs: v.DeclaredMs}, g.now())
	if t.verdict != nil {
		return false
	}
	t.verdict = &v
	g.imported.Inc(1)
	return true
}

// Report returns this daemon's evidence on a move from a slot on.
func (g *Guard) Report(move string, declaredMs, since int64) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{Daemon: g.opts.Daemon, Move: move, DeclaredMs: declaredMs, Since: since}
	if t := g.moves[moveKey{name: move, declaredMs: declaredMs}]; t != nil {
		r.Rows = t.evidence.Rows(since)
		if t.verdict != nil {
			v := *t.verdict
			r.Verdict = &v
		}
	}
	return r
}

// Verdicts returns all verdicts that are remembered.
func (g *Guard) Verdicts() []Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Verdict
	for _, t := range g.moves {
		if t.verdict != nil {
			out = append(out, *t.verdict)
		}
	}
	return out
}

func (g *Guard) tracked(key moveKey, now time.Time) *trackedMove {
	t := g.moves[key]
	if t == nil {
		if len(g.moves) >= maxTracked {
			g.forgetOldest()
		}
		t = &trackedMove{evidence: NewEvidence()}
		g.moves[key] = t
	}
	t.usedAt = now
	return t
}

func (g *Guard) forgetOldest() {
	var oldest moveKey
	var at time.Time
	for key, t := range g.moves {
		if at.IsZero() || t.usedAt.Before(at) {
			oldest, at = key, t.usedAt
		}
	}
	delete(g.moves, oldest)
}
