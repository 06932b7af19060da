package server

import (
	"context"
	"time"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

const (
	// leavingMargin is the safety margin of endsInTime: an answer is migrated
	// unless it is estimated to end more than this before its upstream leaves.
	leavingMargin = time.Second
	// defaultTokenGap is the time per token that is assumed until the attempt has
	// received a token.
	defaultTokenGap = 50 * time.Millisecond
	// kvTransferTimeout bounds the export and, separately, the import of a KV
	// cache.
	kvTransferTimeout = 2 * time.Second
	// maxHeldKVCaches bounds the number of exported KV caches in memory at a time,
	// because each may be large.
	maxHeldKVCaches = 2
)

// watchUpstreams interrupts attempts whose upstream leaves before they can end, so
// that they migrate while the upstream can still export its state. It runs until
// ctx ends.
func (s *Server) watchUpstreams(ctx context.Context) {
	for {
		changed := s.options.Members.Changed()
		s.mu.Lock()
		active := make([]*activeRequest, 0, len(s.active))
		for _, c := range s.active {
			active = append(active, c)
		}
		s.mu.Unlock()
		for _, c := range active {
			s.interruptIfLeaving(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// interruptIfLeaving interrupts the active attempt of a request if its upstream is
// leaving and the answer is not expected to end before that.
func (s *Server) interruptIfLeaving(c *activeRequest) {
	attempt := c.attempt.Load()
	if attempt == nil {
		return
	}
	upstream, ok := s.options.Members.Upstream(attempt.upstream)
	if ok && upstream.Leaving && !endsInTime(c.record, attempt, upstream, time.Now()) {
		attempt.interrupt()
	}
}

// endsInTime estimates whether an answer ends before its upstream leaves. An
// upstream that announced no time waits for its open answers.
func endsInTime(rec *journal.Record, attempt *activeAttempt, upstream membership.Upstream, now time.Time) bool {
	if upstream.LeavingBy.IsZero() {
		return true
	}
	last := rec.LastEvent()
	perToken := defaultTokenGap
	if received := last - attempt.lastEventBefore; received > 0 {
		perToken = now.Sub(attempt.startedAt) / time.Duration(received)
	}
	remaining := time.Duration(max(int64(rec.MaxTokens)-last, 1)) * perToken
	return now.Add(remaining + leavingMargin).Before(upstream.LeavingBy)
}

// migration is the transfer of an answer from an upstream that is leaving to
// another one.
type migration struct {
	from *dispatch.Choice
	// state is the exported generation with its KV cache, or nil if the answer is
	// migrated without it. While it is set, the migration holds one of the
	// server's kvSlots.
	state []byte
}

// prepareMigration begins the migration of the answer from an upstream that is
// leaving. The KV cache is exported only for at least Options.MinKVMoveTokens tokens;
// below that, recomputing it is faster than the transfer.
func (r *requestExecutor) prepareMigration(ctx context.Context, from *dispatch.Choice) {
	r.migration = &migration{from: from}
	mover, ok := r.server.options.Engine.(KVMover)
	if !ok || r.rec.PromptTokens+int(r.rec.LastEvent()) < r.server.options.MinKVMoveTokens || r.rec.LastEvent() == 0 {
		return
	}
	select {
	case r.server.kvSlots <- struct{}{}:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	state, err := mover.Export(ctx, from.Upstream.Address, r.rec.ID)
	if err != nil {
		<-r.server.kvSlots
		r.server.options.Logger.Debug("failed to export KV cache; migrating without it", "request", r.rec.ID, "upstream", from.Upstream.Name, "error", err)
		return
	}
	r.migration.state = state
}

// completeMigration completes the migration at the next upstream. It reports
// whether the generation continues there with its KV cache, so that nothing is
// recomputed.
func (r *requestExecutor) completeMigration(ctx context.Context, to *dispatch.Choice) bool {
	m := r.migration
	r.migration = nil
	defer r.cancelAtEngine(m.from.Upstream.Address)
	if m.state == nil {
		return false
	}
	defer func() { <-r.server.kvSlots }()
	if to.Version != r.version {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	err := r.server.options.Engine.(KVMover).Import(ctx, to.Upstream.Address, m.state)
	if err != nil {
		r.server.options.Logger.Debug("failed to import KV cache; continuing without it", "request", r.rec.ID, "upstream", to.Upstream.Name, "error", err)
		return false
	}
	r.server.metrics.kvMoves.Inc(1)
	return true
}

// continueAtLeavingUpstream resumes the answer at the upstream that is leaving,
// because no other upstream can take it and it may still end in time.
func (r *requestExecutor) continueAtLeavingUpstream(ctx context.Context) attemptResult {
	m := r.migration
	r.migration = nil
	if m.state != nil {
		<-r.server.kvSlots
	}
	r.migrationDisabled = true
	mode := modeResume
	if r.rec.LastEvent() == 0 {
		mode = modeStart
	}
	choice := *m.from
	choice.Done, choice.FirstToken = func(dispatch.Result) {}, nil
	return r.runAttempts(ctx, &choice, mode, 0)
}
