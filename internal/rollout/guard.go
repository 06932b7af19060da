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
	// judgeInterval is the minimum time between two judgements of latencies.
	// Failures are always judged.
	judgeInterval = 100 * time.Millisecond
	// maxTrackedMoves bounds the moves of which a Guard retains evidence.
	maxTrackedMoves = 64
)

// Guard enforces the share of running moves on one daemon, collects evidence, and
// stops sending to a version that is found bad, even while the object API is
// unavailable. It implements dispatch.Moves and is safe for concurrent use.
type Guard struct {
	opts GuardOptions

	stalls stallDetector

	mu    sync.Mutex
	moves map[moveKey]*trackedMove

	samples, stalledSamples, verdicts, imported tally.Counter
}

var _ dispatch.Moves = (*Guard)(nil)

// moveKey identifies a move; declaredMs distinguishes moves of the same name.
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
		opts:           opts,
		moves:          map[moveKey]*trackedMove{},
		samples:        scope.Counter("samples"),
		stalledSamples: scope.Counter("stalled_samples"),
		verdicts:       scope.Counter("verdicts"),
		imported:       scope.Counter("imported_verdicts"),
	}
}

// Run detects stalls of this daemon until ctx ends.
func (g *Guard) Run(ctx context.Context) { g.stalls.run(ctx) }

// now returns the store's time, or the local time until that is known.
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
	if phase, ended := EffectivePhase(m, g.now()); ended {
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

// keyOf returns the key of a move, which must have a status.
func keyOf(m *configsync.Move) moveKey {
	return moveKey{name: m.Name, declaredMs: m.Status.DeclaredMs}
}

// Observe implements dispatch.Moves.
func (g *Guard) Observe(s dispatch.MoveSample) {
	if s.Move == nil || s.Move.Status == nil || s.Move.Status.DeadlineMs == 0 {
		return
	}
	newer := s.Version == s.Move.Spec.To
	if !newer && s.Version != s.Move.Spec.From {
		return
	}
	if g.stalls.covers(s.StartedAt, time.Now()) {
		g.stalledSamples.Inc(1)
		return
	}
	now := g.now()
	g.mu.Lock()
	t := g.trackMove(keyOf(s.Move), now)
	if s.Lost && !t.recordLoss(&s) {
		g.mu.Unlock()
		return
	}
	state := StateOf(s.Move)
	g.samples.Inc(1)
	var found *Verdict
	if f := t.add(&s, state.slot(now), newer, now, g.falseAlarmRate()); f != nil {
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
	g.opts.Logger.Warn("new version found bad; sending it no more requests", "move", found.Move, "reason", found.Reason)
	if g.opts.Peers != nil {
		g.opts.Peers.SendVerdict(*found)
	}
}

// falseAlarmRate returns the probability of a false alarm that this daemon is
// allowed per move.
func (g *Guard) falseAlarmRate() float64 {
	return FalsePositiveRate / 2 / float64(max(1, g.opts.Daemons()))
}

// Import adds a verdict of a peer and reports whether it was new. The Guard does
// not forward it, because the daemon that found it sends it to all.
func (g *Guard) Import(v Verdict) bool {
	if v.Move == "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trackMove(moveKey{name: v.Move, declaredMs: v.DeclaredMs}, g.now())
	if t.verdict != nil {
		return false
	}
	t.verdict = &v
	g.imported.Inc(1)
	return true
}

// Report returns this daemon's evidence on a move in slot since and later ones.
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

// Verdicts returns all retained verdicts, found here or imported.
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

// trackMove returns the record of a move, which it creates if necessary. The
// caller holds g.mu.
func (g *Guard) trackMove(key moveKey, now time.Time) *trackedMove {
	t := g.moves[key]
	if t == nil {
		if len(g.moves) >= maxTrackedMoves {
			g.evictOldest()
		}
		t = &trackedMove{evidence: NewEvidence()}
		g.moves[key] = t
	}
	t.usedAt = now
	return t
}

// evictOldest deletes the record that was not used for the longest time. The
// caller holds g.mu.
func (g *Guard) evictOldest() {
	var oldest moveKey
	var at time.Time
	for key, t := range g.moves {
		if at.IsZero() || t.usedAt.Before(at) {
			oldest, at = key, t.usedAt
		}
	}
	delete(g.moves, oldest)
}
