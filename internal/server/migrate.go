package server

import (
	"context"
	"time"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

const (
	// noticeMargin is kept from an upstream's notice: an answer that is
	// estimated to end within it is moved.
	noticeMargin = time.Second
	// defaultGap is the time per token that is assumed before any was seen.
	defaultGap = 50 * time.Millisecond
	// kvTimeout bounds the export and again the import of a KV cache.
	kvTimeout = 2 * time.Second
	// parallelKV bounds how many KV caches are held here at a time, because each
	// may be large.
	parallelKV = 2
)

// watchUpstreams interrupts attempts whose upstream leaves before they can end,
// so that they move while the upstream can still hand its state over.
func (s *Server) watchUpstreams(ctx context.Context) {
	for {
		changed := s.options.Members.Changed()
		s.mu.Lock()
		open := make([]*call, 0, len(s.calls))
		for _, c := range s.calls {
			open = append(open, c)
		}
		s.mu.Unlock()
		for _, c := range open {
			s.checkUpstream(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// checkUpstream interrupts the attempt under way if its upstream is leaving and
// the answer will not end in time.
func (s *Server) checkUpstream(c *call) {
	at := c.running.Load()
	if at == nil {
		return
	}
	upstream, ok := s.options.Members.Upstream(at.upstream)
	if ok && upstream.Leaving && !endsInTime(c.record, at, upstream, time.Now()) {
		at.interrupt()
	}
}

// endsInTime estimates whether an answer ends before its upstream is gone. An
// upstream that leaves without a time waits for its open answers.
func endsInTime(rec *journal.Record, at *running, upstream membership.Upstream, now time.Time) bool {
	if upstream.LeavingBy.IsZero() {
		return true
	}
	last := rec.Last()
	gap := defaultGap
	if seen := last - at.before; seen > 0 {
		gap = now.Sub(at.begun) / time.Duration(seen)
	}
	left := time.Duration(max(int64(rec.MaxTokens)-last, 1)) * gap
	return now.Add(left + noticeMargin).Before(upstream.LeavingBy)
}

// moving is an answer on its way from an upstream that is leaving.
type moving struct {
	from *dispatch.Choice
	// state is the exported KV cache, nil when there is none.
	state []byte
}

// depart prepares the answer's move away from an upstream. The KV cache is
// worth its transfer only if recomputing it takes longer.
func (r *runner) depart(ctx context.Context, from *dispatch.Choice) {
	r.moving = &moving{from: from}
	mover, ok := r.server.options.Engine.(KVMover)
	if !ok || r.rec.PromptTokens+int(r.rec.Last()) < r.server.options.KVMoveTokens || r.rec.Last() == 0 {
		return
	}
	select {
	case r.server.kvSlots <- struct{}{}:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	state, err := mover.Export(ctx, from.Upstream.Address, r.rec.ID)
	if err != nil {
		<-r.server.kvSlots
		r.server.options.Logger.Debug("KV cache not exported", "request", r.rec.ID, "upstream", from.Upstream.Name, "error", err)
		return
	}
	r.moving.state = state
}

// arrive completes the move at the next upstream. It reports whether the
// generation continues there without being computed again.
func (r *runner) arrive(ctx context.Context, to *dispatch.Choice) bool {
	m := r.moving
	r.moving = nil
	defer r.cancelAt(m.from.Upstream.Address)
	if m.state == nil {
		return false
	}
	defer func() { <-r.server.kvSlots }()
	if to.Version != r.version {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	err := r.server.options.Engine.(KVMover).Import(ctx, to.Upstream.Address, m.state)
	if err != nil {
		r.server.options.Logger.Debug("KV cache not imported", "request", r.rec.ID, "upstream", to.Upstream.Name, "error", err)
		return false
	}
	r.server.metrics.kvMoves.Inc(1)
	return true
}

// stay goes on at the upstream that is leaving, because no other one can take
// the answer and it may still end in time.
func (r *runner) stay(ctx context.Context) result {
	m := r.moving
	r.moving = nil
	if m.state != nil {
		<-r.server.kvSlots
	}
	r.staying = true
	how := modeResume
	if r.rec.Last() == 0 {
		how = modeStart
	}
	choice := *m.from
	choice.Done, choice.FirstToken = func(dispatch.Result) {}, nil
	return r.useFrom(ctx, &choice, how, 0)
}
