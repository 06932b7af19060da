package quarantine

// Attempt is an open attempt of a request at an upstream whose answer has not begun. Its
// methods may be called on nil, which stands for an attempt without parts. It
// belongs to one goroutine.
type Attempt struct {
	tracker  *Tracker
	upstream string
	parts    []uint64
	cancel   func()
	hasEnded bool
}

// Start records an attempt of a request with the given parts. cancel is called if
// one of them turns out to crash upstreams before the answer has begun; it must not block.
func (t *Tracker) Start(upstream string, parts []uint64, cancel func()) *Attempt {
	if t == nil || len(parts) == 0 {
		return nil
	}
	a := &Attempt{tracker: t, upstream: upstream, parts: parts, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[a] = struct{}{}
	return a
}

// RecordBegun records that the answer has begun and the upstream goes on writing it.
func (a *Attempt) RecordBegun() {
	if a == nil || a.hasEnded {
		return
	}
	a.End()
	t := a.tracker
	t.update(func() {
		now := t.opts.Now()
		for _, part := range a.parts {
			t.addBegun(part, now)
		}
	})
}

// RecordLost records that the connection was lost before the answer had begun.
func (a *Attempt) RecordLost() {
	if a == nil || a.hasEnded {
		return
	}
	a.End()
	t := a.tracker
	if t.opts.IsLeaving(a.upstream) {
		return
	}
	t.update(func() {
		now := t.opts.Now()
		if t.addLoss(a.upstream, now, a.parts) {
			t.hasNews = true
			t.scheduleEvaluation(now.Add(settleTime))
			t.explainByVerdicts()
			t.cancelConfirmed()
		}
	})
}

// End records that the attempt ended without evidence. It has no effect after RecordBegun
// and RecordLost.
func (a *Attempt) End() {
	if a == nil || a.hasEnded {
		return
	}
	a.hasEnded = true
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	delete(a.tracker.open, a)
}
