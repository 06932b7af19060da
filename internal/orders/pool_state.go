package orders

import (
	"time"

	"rattantide/internal/membership"
)

// poolState is what the holder of a pool's duty remembers. It begins anew with
// each fencing token; nothing in it is needed for correctness.
type poolState struct {
	fence   int64
	engines map[string]*engineState
	// doubtSince is when an engine or an intent showed a newer fencing token;
	// zero while the lease is trusted.
	doubtSince time.Time
	// inherited holds the intents of older fencing tokens whose engines were
	// not yet observed; nil before they were listed.
	inherited map[string]intent
}

func newPoolState(fence int64) *poolState {
	return &poolState{fence: fence, engines: map[string]*engineState{}}
}

// trusted reports whether the holder may act. A lease in doubt that is still
// held a lifetime later was renewed since, so the store has confirmed it.
func (p *poolState) trusted(now time.Time, ttl time.Duration) bool {
	if !p.doubtSince.IsZero() && now.Sub(p.doubtSince) < ttl {
		return false
	}
	p.doubtSince = time.Time{}
	return true
}

func (p *poolState) engine(name string) *engineState {
	e := p.engines[name]
	if e == nil {
		e = newEngineState()
		p.engines[name] = e
	}
	return e
}

// due returns the engines to look at now: those out of place that have been idle
// long enough, and those with an inherited intent that can no longer be in
// flight. The first of them, as many as ordered says, were ordered lately: they
// may be loading and must be counted, although their next order is not due.
func (p *poolState) due(t target, upstreams []membership.Upstream, now, storeNow time.Time) (out []membership.Upstream, ordered int) {
	var rest []membership.Upstream
	kept := map[string]*engineState{}
	for i := range upstreams {
		u := &upstreams[i]
		old, isInherited := p.inherited[u.Name]
		outOfPlace := t.outOfPlace(u)
		if !outOfPlace && !isInherited {
			continue
		}
		e := p.engine(u.Name)
		kept[u.Name] = e
		switch {
		case !outOfPlace || !idle(u.Load):
			e.idleSince = time.Time{}
		case e.idleSince.IsZero():
			e.idleSince = now
		}
		ready := outOfPlace && !e.idleSince.IsZero() && now.Sub(e.idleSince) >= idleFor
		if isInherited {
			ready = old.settled(storeNow) && (ready || !outOfPlace)
		}
		switch {
		case ready && now.Before(e.notBefore):
			out = append(out, *u)
		case ready:
			rest = append(rest, *u)
		}
	}
	p.engines = kept
	return append(out, rest...), len(out)
}
