package engine

import (
	"sort"
	"time"

	"rattantide/internal/standin/control"
)

const (
	// prefillChunk is how many prompt tokens one step computes at most, so that
	// a long prompt does not stop the running generations.
	prefillChunk = 512
	// maxCatchUp bounds how far a delayed scheduler runs ahead to keep its rate.
	maxCatchUp = 100 * time.Millisecond
)

// schedule runs the steps of the batch until the engine is closed.
func (e *Engine) schedule() {
	next := time.Now()
	for {
		step, busy := e.plan(time.Now())
		if !busy {
			select {
			case <-e.closed:
				return
			case <-e.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(step)
		now := time.Now()
		if now.Sub(next) > maxCatchUp {
			next = now
		}
		if wait := next.Sub(now); wait > 0 {
			select {
			case <-e.closed:
				return
			case <-time.After(wait):
			}
		} else {
			select {
			case <-e.closed:
				return
			default:
			}
		}
		e.step(time.Now())
	}
}

// plan admits waiting generations and returns the duration of the next step.
func (e *Engine) plan(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit(now)
	if len(e.batch) == 0 {
		return 0, false
	}
	decoding, prefill := 0, 0.0
	for _, g := range e.batch {
		if g.prefillLeft > 0 {
			prefill += g.prefillLeft
		} else {
			decoding++
		}
	}
	step := time.Duration(min(prefill, prefillChunk) * float64(e.config.PrefillPerToken))
	if decoding > 0 {
		step += time.Duration(float64(e.config.TokenTime) * (1 + e.config.TokenGrowth*float64(decoding-1)))
	}
	return step, true
}

// admit moves waiting generations into the batch, by priority and arrival,
// while slots and memory are free.
func (e *Engine) admit(now time.Time) {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.arrival < b.arrival
	})
	reserved := 0
	for _, g := range e.batch {
		reserved += g.kvReserve()
	}
	for len(e.waiting) > 0 && len(e.batch) < e.config.Slots {
		g := e.waiting[0]
		if reserved+g.kvReserve() > e.config.KVTokens {
			break
		}
		reserved += g.kvReserve()
		e.waiting = e.waiting[1:]
		g.running = true
		if !g.prompted {
			// The last token of a prompt is always computed.
			g.cachedTokens = min(e.cache.match(g.blocks)*16, g.promptTokens-1)
			g.prefillLeft = float64(g.promptTokens - g.cachedTokens)
		}
		e.batch = append(e.batch, g)
		e.cache.shrink(e.config.KVTokens-reserved, now)
	}
	e.sampleLocked(now)
}

// step computes prompt tokens and produces one token for each generation that
// has its prompt.
func (e *Engine) step(now time.Time) {
	faults := e.faults.Get()
	e.mu.Lock()
	budget := float64(prefillChunk)
	load := len(e.batch) + len(e.waiting)
	kept := e.batch[:0]
	made := 0
	crash := false
	for _, g := range e.batch {
		slow := 1.0
		if faults.SlowFactor > 1 && faults.applies(g.model, g.version, load) {
			slow = faults.SlowFactor
		}
		if g.prefillLeft > 0 {
			e.prefill(g, &budget, slow, now)
		} else if g.produced < g.total {
			g.credit += 1 / slow
		}
		if g.credit >= 1 {
			g.credit--
			g.produced++
			made++
			crash = crash || (g.id == faults.CrashRequest && g.produced >= faults.CrashToken)
			g.notify()
		}
		if g.prefillLeft <= 0 && g.produced >= g.total {
			g.running = false
			e.finish(g, endFinished, now)
			continue
		}
		kept = append(kept, g)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.sampleLocked(now)
	e.mu.Unlock()
	if faults.CrashAfterTokens > 0 && made > 0 {
		crash = e.faults.Take(func(f *Faults) bool {
			if f.CrashAfterTokens <= 0 {
				return false
			}
			f.CrashAfterTokens = max(f.CrashAfterTokens-made, 0)
			return f.CrashAfterTokens == 0
		}) || crash
	}
	if crash {
		e.Crash()
	}
}

// prefill computes part of a prompt. The step that completes it produces the
// first token.
func (e *Engine) prefill(g *generation, budget *float64, slow float64, now time.Time) {
	part := min(*budget/slow, g.prefillLeft)
	*budget -= part * slow
	g.prefillLeft -= part
	if g.prefillLeft > 0 {
		return
	}
	g.prompted = true
	if g.produced < g.total {
		g.credit = 1
	}
	used := 0
	for _, running := range e.batch {
		used += running.kvTokens()
	}
	e.cache.store(g.blocks, e.config.KVTokens-used, now)
}

// finish ends a generation, which the caller has removed from the batch.
func (e *Engine) finish(g *generation, how ending, now time.Time) {
	g.end = how
	e.log.Add(control.Entry{
		Event: string(how), RequestID: g.id, Model: g.model, Version: g.version, PromptTokens: g.promptTokens,
		CachedTokens: g.cachedTokens, PrefixTokens: g.prefixTokens, Tokens: g.produced,
	})
	g.notify()
	if g.attached == 0 {
		e.expireLater(g, now)
	}
}

// remove takes a generation out of the batch and the queue.
func (e *Engine) remove(g *generation) {
	for _, from := range []*[]*generation{&e.batch, &e.waiting} {
		for i, other := range *from {
			if other == g {
				*from = append((*from)[:i:i], (*from)[i+1:]...)
				break
			}
		}
	}
	g.running = false
}

// expireLater drops a generation that stays without a connection for the
// grace time.
func (e *Engine) expireLater(g *generation, now time.Time) {
	g.expires = now.Add(e.config.Grace)
	time.AfterFunc(e.config.Grace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if g.attached > 0 || time.Now().Before(g.expires) || e.generations[g.id] != g {
			return
		}
		delete(e.generations, g.id)
		if g.end == endNone {
			e.remove(g)
			e.finish(g, endExpired, time.Now())
			e.signal()
		}
	})
}

// Crash closes all connections of streams and forgets all generations and the
// prefix cache, as the end of the process does.
func (e *Engine) Crash() {
	e.mu.Lock()
	now := time.Now()
	for _, g := range e.generations {
		if g.end == endNone || g.attached > 0 {
			g.end = endCrashed
			g.notify()
		}
	}
	e.generations = map[string]*generation{}
	e.batch, e.waiting = nil, nil
	e.cache = e.emptyCache()
	e.sampleLocked(now)
	e.mu.Unlock()
	e.log.Add(control.Entry{Event: string(endCrashed)})
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
}
